/// \file configurationchange.cpp
/// One change of the configuration.
#include "configurationchange.h"

#include <set>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

constexpr int maximumRaces = 20;

ChangeReport failed(const Error &error)
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

/// What to store, or the report that ends the change.
struct Plan
{
    Configuration configuration;
    ChangeReport report;
    bool ended = false;
};

/// A merge can break what each side had checked alone, such as the pool of a new service.
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
    plan.ended = true;
    plan.report.revision = stored.root.revision;
    Result<Configuration> present = Configuration();
    if (stored.version != 0) {
        present = co_await store.readConfiguration(
            stored.root.revision, stored.root.snapshot, request.wanted.partTexts());
    }
    if (!present) {
        plan.report = failed(present.error());
        co_return plan;
    }
    plan.report.differences = differences(present.value(), request.wanted);
    if (stored.version != 0 && plan.report.differences.empty()) {
        plan.report.state = ChangeState::Unchanged;
        co_return plan;
    }
    if (stored.version != 0 && !request.base) {
        plan.report.state = ChangeState::Conflict;
        plan.report.conflicts.emplace_back("the base of the declarations is not known; name it");
        co_return plan;
    }
    plan.configuration = request.wanted;
    if (stored.version != 0 && *request.base != stored.root.revision) {
        const Result<Configuration> base
            = co_await store.readRevision(stored.root, *request.base, request.wanted.partTexts());
        if (!base) {
            plan.report = failed(base.error());
            co_return plan;
        }
        MergedConfiguration merged
            = mergeConfigurations(base.value(), present.value(), request.wanted);
        checkMerged(merged.configuration, merged.conflicts);
        plan.report.merged = true;
        if (!merged.conflicts.empty()) {
            plan.report.state = ChangeState::Conflict;
            plan.report.conflicts = std::move(merged.conflicts);
            co_return plan;
        }
        plan.configuration = std::move(merged.configuration);
        plan.report.differences = differences(present.value(), plan.configuration);
        if (plan.report.differences.empty()) {
            plan.report.state = ChangeState::Unchanged;
            co_return plan;
        }
    }
    plan.ended = false;
    co_return plan;
}

asio::awaitable<Result<ConfigurationRoot>> writeParts(ConfigurationStore &store,
    const ChangeRequest &request, const StoredRoot &stored, const Plan &plan)
{
    const Snapshot &snapshot = plan.configuration.snapshot();
    PartTexts parts = plan.configuration.partTexts();
    for (const std::string &id : partsOf(stored.root.snapshot)) {
        parts.erase(id);
    }
    const auto add = [&parts](std::string text) {
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
    if (root.history.size() >= historyPageEntries) {
        root.olderPage = add(serializePage(HistoryPage{ root.history, root.olderPage }));
        root.history.clear();
    }
    root.history.push_back({ root.revision, request.changeId, request.author, request.storedAt,
        summaryOf(plan.report.differences), add(serializeSnapshot(snapshot)) });
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
    for (const HistoryEntry &entry : history.value()) {
        if (entry.changeId == changeId) {
            co_return true;
        }
    }
    co_return false;
}

} // namespace

asio::awaitable<ChangeReport> changeConfiguration(
    ConfigurationStore &store, const ChangeRequest &request)
{
    for (int race = 0; race < maximumRaces; ++race) {
        const Result<StoredRoot> stored = co_await store.readRoot();
        if (!stored) {
            co_return failed(stored.error());
        }
        Result<bool> known = false;
        if (request.isRepeated) {
            known = co_await isInHistory(store, stored.value().root, request.changeId);
        }
        if (!known) {
            co_return failed(known.error());
        }
        if (known.value()) {
            ChangeReport report;
            report.state = ChangeState::Stored;
            report.revision = stored.value().root.revision;
            co_return report;
        }
        Plan plan = co_await planChange(store, request, stored.value());
        if (plan.ended) {
            co_return plan.report;
        }
        const Result<ConfigurationRoot> root
            = co_await writeParts(store, request, stored.value(), plan);
        if (!root) {
            co_return failed(root.error());
        }
        plan.report.revision = root.value().revision;
        const CommitState commit = co_await store.commit(root.value(), stored.value().version);
        if (commit == CommitState::Conflict) {
            continue;
        }
        if (commit == CommitState::NotStored) {
            co_return failed({ ResultCode::StoreUnavailable, "the root could not be swapped" });
        }
        plan.report.state
            = commit == CommitState::Stored ? ChangeState::Stored : ChangeState::Unknown;
        co_return plan.report;
    }
    co_return failed({ ResultCode::StoreConflict, "other operators were faster each time" });
}

} // namespace wigeonsill
