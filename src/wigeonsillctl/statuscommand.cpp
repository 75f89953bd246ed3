/// \file statuscommand.cpp
/// "status": prints the stored revision and on how many entries it is in force.
#include "commandsupport.h"
#include "configurationstore.h"
#include "inforce.h"

#include <iostream>

namespace wigeonsill {

namespace asio = boost::asio;

namespace {

int reportInForce(asio::io_context &io, const CommandArguments &arguments,
    const ConfigurationRoot &root, boost::json::object &object)
{
    const auto address = parseAddress(instanceListAddress(arguments), "instances");
    if (!address) {
        return exitUsage;
    }
    const std::unique_ptr<InstanceList> list = makeHttpInstanceList(io, *address);
    InForceSurvey survey(io, *list);
    const Result<InForceReport> report = runToCompletion(io, survey.query(root.revision));
    if (!report) {
        return printFailure(arguments, report.error());
    }
    object["instances"] = report.value().instances;
    object["reached"] = report.value().reached;
    object["behind"] = boost::json::value_from(report.value().behind);
    if (!arguments.json) {
        std::cout << toString(report.value()) << "\n";
    }
    return report.value().isEverywhere() ? exitSuccess : exitNotInForceEverywhere;
}

} // namespace

int runStatus(const CommandArguments &arguments)
{
    const auto address = parseAddress(arguments.store, "store");
    if (!address) {
        return exitUsage;
    }
    StoreSession session(*address, seconds(arguments.timeoutSeconds));
    const Result<StoredRoot> stored = runToCompletion(session.io, session.store.readRoot());
    if (!stored) {
        return printFailure(arguments, stored.error());
    }
    const ConfigurationRoot &root = stored.value().root;
    boost::json::object object;
    object["revision"] = root.revision;
    object["changeId"] = root.changeId;
    if (!arguments.json) {
        std::cout << "stored: revision " << root.revision << ", change " << root.changeId << "\n";
    }
    const int status
        = arguments.noWait ? exitSuccess : reportInForce(session.io, arguments, root, object);
    if (arguments.json) {
        printJson(object);
    }
    return status;
}

} // namespace wigeonsill
