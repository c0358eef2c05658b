#ifndef GOLDCRESTDECK_CONFIG_SYNC_H_
#define GOLDCRESTDECK_CONFIG_SYNC_H_

/// \file
/// Keeps this host's configuration up to date and renews its evidence that the revision is current.
///
/// A few hosts of each failure domain, the watchers, read the revision from the key-value service
/// about twice a second. The other hosts poll the watchers, so that the number of calls to the
/// service does not grow with the fleet. While the service is unreachable, watchers poll a quorum
/// of voters instead. Runs on the control thread.

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "goldcrestdeck/control.h"
#include "goldcrestdeck/membership.h"
#include "goldcrestdeck/revision_guard.h"
#include "goldcrestdeck/traffic_view.h"

namespace goldcrestdeck {

constexpr const char *configKey = "goldcrestdeck/config";

enum class edit_status {
    accepted, ///< In force on every host that admits work.
    stored,   ///< Written, but not confirmed: hosts may still admit work under the old rows.
    rejected, ///< Not applied: a conflict or a bad row.
    unknown   ///< The key-value service did not answer; retry with the same edit identifier.
};

const char *toString(edit_status status);

struct edit_outcome {
    edit_status status = edit_status::unknown;
    revision_number revision = 0;
    std::string message;
    std::vector<std::string> notInForceOn;
};

class config_sync
{
public:
    /// \a incarnation is unique to this process. \a onInstalling is called with each new
    /// configuration just before requests are routed with it.
    config_sync(control_context &control, host_entry self, std::uint64_t incarnation,
                membership &members, traffic_view &view,
                std::function<void(const config &)> onInstalling);

    /// Renews evidence and advances changes; to be called a few times a second.
    void tick();

    /// Peer addresses to ping now: watchers, all voters if a quorum is needed, and the voters
    /// that have not confirmed a pending change.
    std::vector<std::string> pingTargets();

    /// Handles a report from the host at \a address, for a ping that was sent at \a sentAt.
    void onReport(time_point sentAt, const std::string &address, const revision_report &report);

    revision_report report() const { return m_guard.report(m_control.time.now()); }
    config_value_message value() const;
    const std::shared_ptr<const config> &current() const { return m_guard.current(); }

    /// The hosts that read the key-value service for a failure domain, by rendezvous rank.
    std::vector<host_entry> watchersOf(const std::string &domain) const;
    /// The voters that are live according to membership.
    std::vector<host_entry> liveVoters() const;
    bool isWatcher() const;

    /// Applies an operator's edits. \a onDone is called on the control thread once the outcome is
    /// known.
    void edit(const edit_request &request, std::function<void(const edit_outcome &)> onDone);

private:
    struct stored_config {
        revision_number revision = 0;
        std::shared_ptr<const config> value;
        std::string rejectionReason; ///< Of an edit; empty if it was applied.
    };
    struct pending_edit {
        edit_outcome outcome;
        acceptance_tracker acceptance;
        time_point deadline;
        std::function<void(const edit_outcome &)> onDone;
    };

    /// The watchers that this host polls.
    std::vector<host_entry> polledWatchers() const;
    void install(revision_number revision, const std::shared_ptr<const config> &value);
    void updateAdmission();
    void readRevision();
    void fetchFromStore();
    void fetchFromPeer(const std::string &address);
    void updateVoters();
    void changeVoters(const config &next);
    void finishEdits();
    bool isLeader() const;
    host_names deadVoters() const;
    static stored_config applyInStore(const kv_store &store, const edit_request &request);

    control_context &m_control;
    host_entry m_self;
    membership &m_members;
    traffic_view &m_view;
    std::function<void(const config &)> m_onInstalling;
    revision_guard m_guard;
    time_point m_startedAt;
    time_point m_lastReadAt;
    bool m_reading = false;
    bool m_fetching = false;
    bool m_changingVoters = false;
    bool m_admitting = false;
    std::optional<acceptance_tracker> m_jointAcceptance;
    revision_number m_jointRevision = 0;
    std::vector<pending_edit> m_edits;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CONFIG_SYNC_H_
