#ifndef GOLDCRESTDECK_CONFIG_SYNC_H_
#define GOLDCRESTDECK_CONFIG_SYNC_H_

/// \file
/// Keeps the configuration in force here, and this host's evidence for it fresh.
///
/// A few hosts of each failure domain, the watchers, read the revision from the key-value service
/// twice a second; the others ask the watchers, so calls do not grow with the fleet. Where the
/// service does not answer, watchers ask a quorum of voters instead. Runs on the control thread.

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
    stored,   ///< Written, but some hosts may still admit work under the old rows.
    rejected, ///< Not applied: a conflict or a bad row.
    unknown   ///< The key-value service did not answer; ask again with the same edit identifier.
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
    /// \a instance is unique to this process. \a onInstalling is called with each configuration
    /// just before requests are routed by it.
    config_sync(control_context &control, host_entry self, std::uint64_t instance,
                membership &members, traffic_view &view,
                std::function<void(const config &)> onInstalling);

    /// Called a few times a second.
    void tick();

    /// Peer addresses to ping now: watchers, and all voters where a quorum has to be asked.
    std::vector<std::string> pingTargets();

    /// A host at \a address, asked at \a askedAt, answered.
    void onReport(time_point askedAt, const std::string &address, const revision_report &report);

    revision_report report() const { return m_guard.report(m_control.time.now()); }
    config_value_message value() const;
    const std::shared_ptr<const config> &current() const { return m_guard.current(); }

    /// The hosts that read the key-value service for a failure domain; the best first.
    std::vector<host_entry> watchersOf(const std::string &domain) const;
    /// All voters that are alive, by their entries.
    std::vector<host_entry> liveVoters() const;
    bool isWatcher() const;

    /// Applies an operator's edits. \a onDone is called on the control thread.
    void edit(const edit_request &request, std::function<void(const edit_outcome &)> onDone);

private:
    struct stored_config {
        revision_number revision = 0;
        std::shared_ptr<const config> value;
        std::string conflict; ///< Why an edit was not applied.
    };
    struct open_edit {
        edit_outcome outcome;
        acceptance progress;
        time_point deadline;
        std::function<void(const edit_outcome &)> onDone;
    };

    /// The watchers that this host asks.
    std::vector<host_entry> askedHosts() const;
    void install(revision_number revision, const std::shared_ptr<const config> &value);
    void updateAdmission();
    void readRevision();
    void fetchFromStore();
    void fetchFromPeer(const std::string &address);
    void keepVoters();
    void changeVoters(const config &next);
    void settleEdits();
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
    time_point m_readAt;
    bool m_reading = false;
    bool m_fetching = false;
    bool m_changingVoters = false;
    bool m_admitting = false;
    std::optional<acceptance> m_joint;
    revision_number m_jointRevision = 0;
    std::vector<open_edit> m_edits;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CONFIG_SYNC_H_
