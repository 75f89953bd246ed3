/// \file streamversions.cpp
/// Sharing of the versions at which streams began, and questions for them.
#include "streamversions.h"

#include <algorithm>

namespace wigeonsill {

namespace {

/// Shortest time between two rounds that share all streams.
constexpr Duration shareInterval = seconds(2);

} // namespace

void StreamVersions::setStore(StreamOriginStore &originStore)
{
    this->store = &originStore;
    this->store->setSeveralVersions(this->anySeveralVersions);
}

void StreamVersions::setEntries(int count)
{
    if (this->store != nullptr) {
        this->store->setEntries(std::max(count, 1));
    }
}

void StreamVersions::setRecent(std::set<ServiceVersion> versions)
{
    this->recent = std::move(versions);
    this->anySeveralVersions = std::any_of(
        this->recent.begin(), this->recent.end(), [this](const ServiceVersion &version) {
            return this->hasSeveralVersions(version.service);
        });
    if (!this->anySeveralVersions) {
        this->sharedTargetsVersion.reset();
    }
    if (this->store != nullptr) {
        this->store->setSeveralVersions(this->anySeveralVersions);
    }
}

bool StreamVersions::hasSeveralVersions(const std::string &service) const
{
    return !onlyVersion(this->recent, service);
}

void StreamVersions::update(std::uint64_t targetsVersion, TimePoint now)
{
    if (!this->anySeveralVersions || this->sharedTargetsVersion == targetsVersion
        || now - this->sharedAt < shareInterval) {
        return;
    }
    this->sharedTargetsVersion = targetsVersion;
    this->sharedAt = now;
    const OriginKeepers keepers(this->engines());
    for (const auto &[stream, version] : this->origins.all(now)) {
        this->share(stream, version, keepers, false);
    }
}

void StreamVersions::recordBegan(std::uint64_t stream, const ServiceVersion &version, TimePoint now)
{
    this->origins.record(stream, version.version, now);
    if (this->store != nullptr) {
        this->store->record(stream, version.version);
    }
    this->share(stream, version.version, OriginKeepers(this->engines()),
        !this->hasSeveralVersions(version.service));
}

void StreamVersions::recordEnded(std::uint64_t stream)
{
    this->origins.forget(stream);
    if (this->store != nullptr) {
        this->store->forget(stream);
    }
}

void StreamVersions::recordGoesOn(
    std::uint64_t stream, const ServiceVersion &version, TimePoint now)
{
    if (this->origins.isRenewalDue(stream, now)) {
        this->recordBegan(stream, version, now);
    }
}

void StreamVersions::share(std::uint64_t stream, const std::string &version,
    const OriginKeepers &keepers, bool isOnlyVersion)
{
    this->metrics.count("wigeonsill_stream_versions_shared_total");
    for (const Target *keeper : keepers.toTell(stream)) {
        this->grants.shareStreamVersion(*keeper, stream, version, isOnlyVersion);
    }
}

void StreamVersions::ask(
    std::uint64_t stream, const std::string &service, StreamOriginListener &listener)
{
    const auto [found, isNew] = this->questions.try_emplace(&listener);
    Question &question = found->second;
    if (isNew) {
        question.stream = stream;
        question.service = service;
        question.askedAt = currentTime();
    }
    this->queryAgents(question);
    if (isNew) {
        this->readList();
    } else {
        this->queryEntries(question);
    }
}

void StreamVersions::queryAgents(Question &question)
{
    question.unanswered.clear();
    for (const Target *target :
        OriginKeepers(this->engines()).toAsk(question.stream, question.service, this->recent)) {
        const auto endpoint = parseEndpoint(target->address);
        if (endpoint && question.unanswered.insert(endpoint.value().address()).second) {
            this->metrics.count("wigeonsill_stream_versions_asked_total");
            this->grants.queryStreamVersion(*target, question.stream, false);
        }
    }
    question.evidence.askedAgents = question.unanswered.size();
}

void StreamVersions::queryEntries(Question &question)
{
    const bool isNeeded = !question.evidence.version && question.stream != 0
        && this->hasSeveralVersions(question.service);
    if (!isNeeded) {
        return;
    }
    question.evidence.areEntriesAsked = true;
    for (const Target &collector : this->collectors()) {
        this->grants.queryStreamVersion(collector, question.stream, true);
    }
}

void StreamVersions::answerAgent(std::uint64_t stream, const boost::asio::ip::udp::endpoint &agent)
{
    if (const auto version = this->origins.find(stream, currentTime())) {
        this->grants.shareStreamVersion(agent, stream, *version, !this->anySeveralVersions);
    }
}

OriginDecision StreamVersions::decide(const Question &question) const
{
    OriginEvidence evidence = question.evidence;
    evidence.answeredAgents = evidence.askedAgents - question.unanswered.size();
    evidence.onlyVersion = onlyVersion(this->recent, question.service);
    if (this->store != nullptr && question.stream != 0) {
        evidence.stored = this->store->find(question.stream);
    }
    const auto &version = evidence.version ? evidence.version : evidence.stored.version;
    evidence.isVersionListed = version && this->recent.contains({ question.service, *version });
    return decideOrigin(evidence);
}

void StreamVersions::answerDecided(const Listeners &listeners)
{
    for (StreamOriginListener *listener : listeners) {
        // An earlier listener may have ended this one.
        const auto found = this->questions.find(listener);
        if (found == this->questions.end()) {
            continue;
        }
        const OriginDecision decision = this->decide(found->second);
        if (decision.verdict != OriginVerdict::Pending) {
            this->questions.erase(found);
            listener->onStreamOrigin(decision);
        }
    }
}

void StreamVersions::endWait(StreamOriginListener &listener, bool isTimeOver)
{
    const auto found = this->questions.find(&listener);
    if (found != this->questions.end()) {
        found->second.evidence.isDue = true;
        found->second.evidence.isTimeOver = isTimeOver;
        this->answerDecided({ &listener });
    }
}

void StreamVersions::confirm(TimePoint calledAt)
{
    Listeners confirmed;
    for (auto &[listener, question] : this->questions) {
        if (question.evidence.isListConfirmed || question.askedAt > calledAt) {
            continue;
        }
        confirmed.push_back(listener);
        question.evidence.isListConfirmed = true;
        if (this->hasSeveralVersions(question.service)) {
            this->queryAgents(question);
        }
    }
    this->answerDecided(confirmed);
}

void StreamVersions::onAnswer(const GrantMessage &message, const boost::asio::ip::address &agent)
{
    Listeners answered;
    for (auto &[listener, question] : this->questions) {
        if (question.stream != message.stream) {
            continue;
        }
        const bool wasAwaited = question.unanswered.erase(agent) > 0;
        if (!wasAwaited && !message.isStreamKnown) {
            continue;
        }
        answered.push_back(listener);
        OriginEvidence &evidence = question.evidence;
        evidence.areSeveralVersionsKnown
            = evidence.areSeveralVersionsKnown || message.areSeveralVersionsKnown;
        if (message.isStreamKnown) {
            evidence.version = message.version;
        } else if (question.unanswered.empty()) {
            this->queryEntries(question);
        }
    }
    if (message.isStreamKnown && !answered.empty()) {
        this->origins.record(message.stream, message.version, currentTime());
    }
    this->answerDecided(answered);
}

} // namespace wigeonsill
