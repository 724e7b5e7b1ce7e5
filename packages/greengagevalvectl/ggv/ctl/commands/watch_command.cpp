#include <ggv/ctl/command.hpp>
#include <ggv/ctl/rollout.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <thread>

namespace ggv {

namespace {

constexpr std::uint64_t DefaultTimeoutSeconds = 60;
constexpr std::uint64_t MaxTimeoutSeconds = 24ULL * 3600;
constexpr Duration PollInterval = std::chrono::milliseconds(500);

using ProgressByHost = std::map<std::string, std::string>;

void writeChanges(const CommandContext &context, const ProgressByHost &before,
                  const ProgressByHost &current, RegisterVersion version)
{
    for (const auto &[host, progress] : current) {
        const auto it = before.find(host);
        if (it != before.end() && it->second == progress)
            continue;
        if (context.json()) {
            const nlohmann::json line { { "host", host },
                                        { "version", version },
                                        { "change", progress } };
            context.out << line.dump() << std::endl;
        } else {
            context.out << host << ": " << progress << std::endl;
        }
    }
}

RegisterVersion acceptedVersion(const ApiClient &client)
{
    const auto status = client.fetchJson("/v1/status");
    return status.value("accepted", RegisterVersion { 0 });
}

// A host may restart during a rollout, so unreachable hosts are an error only at the deadline.
std::optional<Rollout> pollRollout(const ApiClient &client, RegisterVersion version,
                                   Instant deadline)
{
    try {
        return Rollout::fromStatus(client.fetchJson("/v1/status"), version).value();
    } catch (const Error &error) {
        if (error.code() != ResultCode::TargetUnreachable || monotonicNow() >= deadline)
            throw;
        return std::nullopt;
    }
}

ExitCode waitForRollout(const CommandContext &context, const ApiClient &client,
                        RegisterVersion version, Instant deadline)
{
    ProgressByHost before;
    for (;;) {
        const auto rollout = pollRollout(client, version, deadline);
        if (rollout) {
            writeChanges(context, before, rollout->hosts(), version);
            before = rollout->hosts();
            if (rollout->isComplete())
                return ExitCode::Ok;
        }
        const Instant now = monotonicNow();
        if (rollout && now >= deadline)
            break;
        std::this_thread::sleep_for(std::clamp(deadline - now, Duration(0), PollInterval));
    }
    context.err << "version " << version
                << " is not in force on all reachable hosts within the time-out\n";
    return ExitCode::Refused;
}

} // namespace

ExitCode runWatch(const CommandContext &context)
{
    const auto largest = std::numeric_limits<RegisterVersion>::max();
    const auto requested = context.arguments.number(Option::Version, largest);
    const auto seconds = context.arguments.number(Option::Timeout, MaxTimeoutSeconds)
                             .value_or(DefaultTimeoutSeconds);
    const Instant deadline = monotonicNow() + std::chrono::seconds(seconds);
    const ApiClient client = context.client();
    const RegisterVersion version = requested ? *requested : acceptedVersion(client);
    return waitForRollout(context, client, version, deadline);
}

} // namespace ggv
