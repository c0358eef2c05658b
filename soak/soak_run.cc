#include "soak/soak_run.h"

#include <functional>
#include <random>

#include "goldcrestdeck/testing/router_harness.h"

namespace soak {

using goldcrestdeck::byte_client;
using goldcrestdeck::http1_response;
using goldcrestdeck::link_faults;
using goldcrestdeck::requestText;
using standins::runner_behaviour;
using standins::store_faults;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr milliseconds tick{20};
/// After the last fault, for everything to work again; the platform's bound on recovery.
constexpr milliseconds recoveryTime{12'000};
/// The platform's bound on arrivals beyond the first of each request: a ratio, and a slack in each
/// of its windows.
constexpr double repeatRatio = 0.9;
constexpr double repeatSlack = 50;
constexpr double budgetWindowSeconds = 10;

class soak_run
{
public:
    explicit soak_run(const soak_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_world(options.hosts, options.folder)
    { }

    soak_report run()
    {
        awaitCalm("start");
        m_clients = std::make_unique<soak_clients>(m_world, m_options.callers);
        const auto end = steady::now() + m_options.time;
        auto next = steady::now();
        while (steady::now() < end) {
            if (steady::now() >= next) {
                strike();
                next = steady::now() + milliseconds(draw(20, 500));
            }
            turn();
        }
        // Everything that is still to be mended is mended now.
        while (!m_due.empty())
            turn();
        awaitCalm("end");
        m_clients->stop();
        m_clients->judge();
        checkBudget();
        m_report.answers = m_clients->answers();
        for (const std::string &found : m_clients->violations())
            m_report.violations.push_back(found);
        return m_report;
    }

private:
    using step = std::function<void()>;

    int draw(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    void later(int ms, step then)
    {
        m_due.emplace(steady::now() + milliseconds(ms), std::move(then));
    }

    void log(const std::string &what)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(steady::now() - m_began).count();
        m_report.faults.push_back(std::to_string(at) + " ms: " + what);
    }

    void turn()
    {
        while (!m_due.empty() && m_due.begin()->first <= steady::now()) {
            const step then = m_due.begin()->second;
            m_due.erase(m_due.begin());
            then();
        }
        const std::string ended = m_world.pollEnds();
        if (!ended.empty() && m_report.violations.size() < 20)
            m_report.violations.push_back(ended);
        for (std::size_t i = 0; i < m_world.hostCount(); ++i) {
            if (m_world.state(i) == host_state::down && m_starting.insert(i).second)
                later(draw(20, 800), [this, i] {
                    m_starting.erase(i);
                    log("start host " + std::to_string(i));
                    m_world.start(i);
                });
        }
        std::this_thread::sleep_for(tick);
    }

    void strike()
    {
        switch (draw(0, 5)) {
        case 0:
        case 1:
            strikeHost(static_cast<std::size_t>(draw(0, static_cast<int>(m_options.hosts) - 1)));
            return;
        case 2:
            strikeStore();
            return;
        case 3:
            strikeLink();
            return;
        case 4:
            strikeRunner(
                static_cast<std::size_t>(draw(0, static_cast<int>(m_world.runnerCount()) - 1)));
            return;
        default:
            log("configuration " + std::to_string(++m_generation));
            m_world.putConfig(m_generation);
            m_clients->noteGeneration(m_generation);
        }
    }

    void strikeHost(std::size_t host)
    {
        const std::string name = " host " + std::to_string(host);
        if (m_world.state(host) != host_state::running)
            return;
        switch (draw(0, 4)) {
        case 0:
            log("kill" + name);
            m_world.kill(host);
            return;
        case 1:
            log("stop" + name);
            m_world.stop(host);
            return;
        case 2:
            log("reload" + name);
            m_world.reload(host);
            return;
        case 3:
            if (draw(0, 5) == 0) {
                log("kill all hosts");
                for (std::size_t i = 0; i < m_world.hostCount(); ++i) {
                    if (m_world.state(i) == host_state::running)
                        m_world.kill(i);
                }
                return;
            }
            [[fallthrough]];
        default:
            log("freeze" + name);
            m_world.freeze(host);
            later(draw(50, 2500), [this, host, name] {
                log("thaw" + name);
                m_world.thaw(host);
            });
        }
    }

    void strikeStore()
    {
        store_faults faults;
        switch (draw(0, 6)) {
        case 0:
            faults.reset = true;
            break;
        case 1:
            faults.busy = true;
            break;
        case 2:
            faults.silent = true;
            break;
        case 3:
            faults.delay = milliseconds(draw(20, 400));
            break;
        case 4:
            faults.loseWrites = true;
            break;
        case 5:
            log("store forgets its history");
            m_world.compactStore();
            return;
        default:
            log("store ends all leases");
            m_world.endLeases();
            return;
        }
        log("store faults");
        m_world.setStoreFaults(faults);
        later(draw(100, 2500), [this] {
            log("store mended");
            m_world.setStoreFaults({});
        });
    }

    void strikeLink()
    {
        const bool toStore = draw(0, 1) == 0;
        const int which
            = draw(0, static_cast<int>(toStore ? m_options.hosts : m_world.runnerCount()) - 1);
        const auto index = static_cast<std::size_t>(which);
        goldcrestdeck::tcp_relay &link
            = toStore ? m_world.storeLink(index) : m_world.runnerLink(index);
        const int kind = draw(0, 3);
        log((toStore ? "store link " : "runner link ") + std::to_string(which) + " fault "
            + std::to_string(kind));
        if (kind == 0) {
            link.setCut(true);
            later(draw(50, 1500), [&link] { link.setCut(false); });
            return;
        }
        link_faults faults;
        faults.delay = milliseconds(kind == 1 ? draw(10, 200) : 0);
        faults.silentToTarget = kind == 2;
        faults.silentToCaller = kind == 3;
        link.setFaults(faults);
        later(draw(100, 2000), [&link] { link.setFaults({}); });
    }

    void strikeRunner(std::size_t runner)
    {
        const std::string name = "runner " + std::to_string(runner);
        const int kind = draw(0, 12);
        log(name + " fault " + std::to_string(kind));
        if (kind >= 11) {
            m_world.registerRunner(runner, true);
            if (kind == 12)
                m_world.removeRunner(runner);
            later(draw(200, 1500), [this, runner] { m_world.registerRunner(runner, false); });
            return;
        }
        runner_behaviour behaviour;
        behaviour.status = kind == 0 ? 500 : 200;
        behaviour.notRun = kind == 1;
        behaviour.resetUnanswered = kind == 2;
        behaviour.cutBody = kind == 3;
        behaviour.silent = kind == 4;
        behaviour.garbage = kind == 5;
        behaviour.breakAfter = kind == 6 ? draw(0, streamEvents - 1) : -1;
        behaviour.stallAfter = kind == 7 ? draw(0, streamEvents - 1) : -1;
        behaviour.extraAnswer = kind == 8;
        behaviour.strayAnswerFirst = kind == 9;
        behaviour.delay = milliseconds(kind == 10 ? draw(20, 800) : 0);
        m_world.setBehaviour(runner, behaviour);
        later(draw(100, 1500), [this, runner] { m_world.setBehaviour(runner, {}); });
    }

    /// Every host is to serve every kind of request under the newest configuration.
    void awaitCalm(const std::string &when)
    {
        const auto until = steady::now() + recoveryTime;
        std::string missing;
        while (steady::now() < until) {
            missing = whatFails();
            if (missing.empty())
                return;
            turn();
        }
        m_report.violations.push_back("not calm at the " + when + ": " + missing);
    }

    std::string whatFails()
    {
        const std::string current = std::to_string(m_generation);
        const std::string former = std::to_string(m_generation - 1);
        for (std::size_t host = 0; host < m_world.hostCount(); ++host) {
            const std::string name = "host " + std::to_string(host);
            const std::map<std::string, unsigned> wanted = {
                {"/safe/x", 200}, {"/gen-" + current + "/x", 200}, {"/gen-" + former + "/x", 404}};
            try {
                byte_client client(m_world.clients(host));
                for (const auto &entry : wanted) {
                    client.send(requestText("GET", entry.first, "q" + std::to_string(++m_asked)));
                    const unsigned status = client.read().result_int();
                    if (status != entry.second)
                        return name + " answers " + entry.first + " with " + std::to_string(status);
                }
                client.send(requestText("POST", "/stream/x", "q" + std::to_string(++m_asked),
                                        "X-Model: m\r\n", "{}"));
                if (client.read().result_int() != 200)
                    return name + " does not stream";
            } catch (const boost::system::system_error &error) {
                return name + ": " + error.what();
            }
        }
        return "";
    }

    void checkBudget()
    {
        double requests = 0;
        double repeats = 0;
        for (const auto &entry : m_world.arrivals()) {
            requests += 1;
            repeats += entry.second - 1;
        }
        const double seconds = std::chrono::duration<double>(steady::now() - m_began).count();
        const double bound
            = repeatRatio * requests + repeatSlack * (1 + seconds / budgetWindowSeconds);
        if (repeats > bound)
            m_report.violations.push_back(std::to_string(repeats) + " repeats of "
                                          + std::to_string(requests) + " requests");
    }

    soak_options m_options;
    std::mt19937_64 m_random;
    soak_report m_report;
    steady::time_point m_began = steady::now();
    std::multimap<steady::time_point, step> m_due;
    std::set<std::size_t> m_starting; ///< Hosts that are down and will be started.
    int m_generation = 1;
    int m_asked = 0;
    soak_world m_world;
    std::unique_ptr<soak_clients> m_clients;
};

} // namespace

soak_report runSoak(const soak_options &options)
{
    return soak_run(options).run();
}

} // namespace soak
