/// \file configurationchange.cpp
/// Implementation of changes of the configuration.
#include "configurationchange.h"

#include <set>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr int maximumCommitConflicts = 20;

ChangeReport failureReport(const Error &error)
{
    ChangeReport report;
    report.error = error;
    return report;
}

std::string summaryOf(const std::vector<ConfigurationDifference> &differences)
{
    std::set<std::string> names;
    for (const ConfigurationDifference &difference : differences) {
        names.insert(difference.kind + " " + difference.name);
    }
    if (names.size() == 1) {
        return *names.begin();
    }
    return std::to_string(names.size()) + " organisations and pools";
}

/// The configuration to store, or the final report if there is nothing to store.
struct Plan
{
    Configuration configuration;
    ChangeReport report;
    bool isFinished = false;
};

/// Checks the merged declarations. They can be invalid although each side is valid alone, for
/// example when one side removes the pool that a new service of the other side uses.
void checkMerged(const Configuration &merged, std::vector<std::string> &conflicts)
{
    std::vector<SettingsProblem> problems;
    checkDeclarations(merged.pools(), merged.organisations(), problems);
    for (const SettingsProblem &problem : problems) {
        conflicts.push_back(toString(problem));
    }
}

asio::awaitable<Plan> planChange(
    ConfigurationStore &store, const ChangeRequest &request, const StoredRoot &stored)
{
    Plan plan;
    plan.isFinished = true;
    plan.report.revision = stored.root.revision;
    Result<Configuration> current = Configuration();
    if (stored.version != 0) {
        current = co_await store.readConfiguration(
            stored.root.revision, stored.root.snapshot, request.declared.partTexts());
    }
    if (!current) {
        plan.report = failureReport(current.error());
        co_return plan;
    }
    plan.report.differences = differences(current.value(), request.declared);
    if (stored.version != 0 && plan.report.differences.empty()) {
        plan.report.state = ChangeState::Unchanged;
        co_return plan;
    }
    if (stored.version != 0 && !request.base) {
        plan.report.state = ChangeState::Conflict;
        plan.report.conflicts.emplace_back(
            "the base revision of the declarations is not known; use --base");
        co_return plan;
    }
    plan.configuration = request.declared;
    if (stored.version != 0 && *request.base != stored.root.revision) {
        const Result<Configuration> base
            = co_await store.readRevision(stored.root, *request.base, request.declared.partTexts());
        if (!base) {
            plan.report = failureReport(base.error());
            co_return plan;
        }
        MergedConfiguration merged
            = mergeConfigurations(base.value(), current.value(), request.declared);
        checkMerged(merged.configuration, merged.conflicts);
        plan.report.merged = true;
        if (!merged.conflicts.empty()) {
            plan.report.state = ChangeState::Conflict;
            plan.report.conflicts = std::move(merged.conflicts);
            co_return plan;
        }
        plan.configuration = std::move(merged.configuration);
        plan.report.differences = differences(current.value(), plan.configuration);
        if (plan.report.differences.empty()) {
            plan.report.state = ChangeState::Unchanged;
            co_return plan;
        }
    }
    plan.isFinished = false;
    co_return plan;
}

asio::awaitable<Result<ConfigurationRoot>> writeParts(ConfigurationStore &store,
    const ChangeRequest &request, const StoredRoot &stored, const Plan &plan)
{
    const Snapshot &snapshot = plan.configuration.snapshot();
    PartTexts parts = plan.configuration.partTexts();
    for (const std::string &id : partIdsOf(stored.root.snapshot)) {
        parts.erase(id);
    }
    const auto addPart = [&parts](std::string text) {
        std::string id = partId(text);
        parts[id] = std::make_shared<const std::string>(std::move(text));
        return id;
    };
    ConfigurationRoot root;
    root.revision = stored.root.revision + 1;
    root.changeId = request.changeId;
    root.snapshot = snapshot;
    root.history = stored.root.history;
    root.olderPage = stored.root.olderPage;
    if (root.history.size() >= historyPageSize) {
        root.olderPage = addPart(serializePage(HistoryPage{ root.history, root.olderPage }));
        root.history.clear();
    }
    root.history.push_back({ root.revision, request.changeId, request.author, request.storedAt,
        summaryOf(plan.report.differences), addPart(serializeSnapshot(snapshot)) });
    for (const auto &[id, text] : parts) {
        const Result<void> written = co_await store.writePart(id, *text);
        if (!written) {
            co_return written.error();
        }
    }
    co_return root;
}

asio::awaitable<Result<bool>> isInHistory(
    ConfigurationStore &store, const ConfigurationRoot &root, const std::string &changeId)
{
    const auto history = co_await store.readHistory(root, 0, SIZE_MAX);
    if (!history) {
        co_return history.error();
    }
    for (const HistoryRecord &record : history.value()) {
        if (record.changeId == changeId) {
            co_return true;
        }
    }
    co_return false;
}

} // namespace

asio::awaitable<ChangeReport> changeConfiguration(
    ConfigurationStore &store, const ChangeRequest &request)
{
    for (int commitConflicts = 0; commitConflicts < maximumCommitConflicts; ++commitConflicts) {
        const Result<StoredRoot> stored = co_await store.readRoot();
        if (!stored) {
            co_return failureReport(stored.error());
        }
        Result<bool> alreadyStored = false;
        if (request.isRepeated) {
            alreadyStored = co_await isInHistory(store, stored.value().root, request.changeId);
        }
        if (!alreadyStored) {
            co_return failureReport(alreadyStored.error());
        }
        if (alreadyStored.value()) {
            ChangeReport report;
            report.state = ChangeState::Stored;
            report.revision = stored.value().root.revision;
            co_return report;
        }
        Plan plan = co_await planChange(store, request, stored.value());
        if (plan.isFinished) {
            co_return plan.report;
        }
        const Result<ConfigurationRoot> root
            = co_await writeParts(store, request, stored.value(), plan);
        if (!root) {
            co_return failureReport(root.error());
        }
        plan.report.revision = root.value().revision;
        const CommitState commit = co_await store.commit(root.value(), stored.value().version);
        if (commit == CommitState::Conflict) {
            continue;
        }
        if (commit == CommitState::NotStored) {
            co_return failureReport(
                { ResultCode::StoreUnavailable, "the compare-and-swap of the root failed" });
        }
        plan.report.state
            = commit == CommitState::Stored ? ChangeState::Stored : ChangeState::Unknown;
        co_return plan.report;
    }
    co_return failureReport(
        { ResultCode::StoreConflict, "each commit conflicted with a change of another operator" });
}

} // namespace wigeonsill
