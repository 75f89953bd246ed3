/// \file requesttargets.cpp
/// The targets that a request may be sent to, now or later.
#include "requestflow.h"

#include <algorithm>

namespace wigeonsill {

std::vector<const Target *> RequestFlow::usableTargets() const
{
    std::vector<const Target *> result = this->state.targets.usable(this->service->name);
    if (this->areVersionsRestricted()) {
        std::erase_if(
            result, [this](const Target *candidate) { return !this->isAdmitted(*candidate); });
    }
    return result;
}

std::vector<TargetView> RequestFlow::targetViews() const
{
    const TimePoint now = currentTime();
    std::vector<TargetView> result;
    for (const Target *candidate : this->usableTargets()) {
        if (this->excludedTargets.contains(candidate->id)
            || !this->state.admitsRequest(*candidate, now)
            || (this->areVersionsRestricted() && !this->maySendTo(*candidate))) {
            continue;
        }
        if (!this->service->isEngine && this->state.rates.isLimited(*candidate)) {
            // Asked for also while one is at hand, so that the next request finds another one.
            this->state.rates.recordDemand(*candidate);
            if (!this->state.rates.admits(*candidate, now)) {
                continue;
            }
        }
        TargetView view;
        view.target = candidate;
        view.hasPermit = !this->service->isEngine && this->state.rates.isLimited(*candidate);
        view.ownRequests = this->state.requestsAt(candidate->id);
        view.failing = this->state.isFailing(candidate->id, now);
        if (this->service->isEngine) {
            const AgentView agent = this->state.grantClient.view(*candidate, now);
            view.load = agent.load;
            view.loadAge = agent.loadAge;
            view.agentUnresponsive = agent.unresponsive;
        }
        result.push_back(view);
    }
    return result;
}

std::vector<const Target *> RequestFlow::candidates() const
{
    std::vector<const Target *> result = this->usableTargets();
    std::erase_if(result,
        [this](const Target *candidate) { return this->excludedTargets.contains(candidate->id); });
    return result;
}

std::optional<Duration> RequestFlow::untilRateLeavesRoom() const
{
    const auto rate = this->state.rates.totalRate(this->candidates());
    if (!rate) {
        return std::nullopt;
    }
    const double utility = this->profile().utility;
    const auto ahead = std::count_if(this->state.permitWaiters.begin(),
        this->state.permitWaiters.end(), [this, utility](const RequestFlow *other) {
            return other != this && other->service == this->service
                && other->profile().utility >= utility;
        });
    const std::chrono::duration<double> time(static_cast<double>(ahead) / *rate);
    return std::chrono::duration_cast<Duration>(time);
}

bool RequestFlow::isDeclinedForRates() const
{
    return !this->reservations.empty() && this->nextRankedTarget == this->rankedTargets.size()
        && std::all_of(this->reservations.begin(), this->reservations.end(),
            [this](const Reservation &reservation) {
                return reservation.state == ReservationState::Declined
                    && this->state.rates.isLimited(reservation.target);
            });
}

void RequestFlow::refuseForRates(Duration untilRoom)
{
    this->state.metrics.count("wigeonsill_requests_over_rate_total");
    this->refuse(ResultCode::Overloaded,
        "all targets of the service are at the rates that they state", this->retryDelay(untilRoom));
}

bool RequestFlow::isWaitUseful() const
{
    const TimePoint now = currentTime();
    const auto targets = this->usableTargets();
    return std::any_of(targets.begin(), targets.end(), [this, now](const Target *candidate) {
        // A target that does not want requests is only worth waiting for where the caller has part
        // of the answer; otherwise it is told at once when to come back.
        return !this->excludedTargets.contains(candidate->id)
            && (this->headSentToCaller || !this->state.quiet.isQuiet(*candidate, now));
    });
}

Duration RequestFlow::delayUntilTarget() const
{
    const auto quiet
        = this->state.quiet.untilAnyWantsRequests(this->usableTargets(), currentTime());
    return quiet ? quietReturnDelay(*quiet, this->state.uniformRandom()) : this->retryDelay();
}

} // namespace wigeonsill
