/// \file main.cpp
/// wigeonsill-standin: stand-ins for the store, engines and services in tests.
#include "standin.h"

using namespace wigeonsill;

namespace {

enum class Role : std::uint8_t { Store, Engine, Plain, Weights };
constexpr std::array roleNames = {
    EnumName<Role>{ Role::Store, "store" },
    EnumName<Role>{ Role::Engine, "engine" },
    EnumName<Role>{ Role::Plain, "plain" },
    EnumName<Role>{ Role::Weights, "weights" },
};

struct StandinSettings
{
    Role role = Role::Store;
    boost::asio::ip::tcp::endpoint listen;
    EngineSettings engine;
};

EngineSettings readEngineSettings(SettingsReader reader)
{
    EngineSettings engine;
    engine.prefillTokensPerSecond
        = reader.real("prefillTokensPerSecond", 1, 1e9, engine.prefillTokensPerSecond);
    engine.stepMs = reader.real("stepMs", 0.1, 10'000, engine.stepMs);
    engine.stepMsPerSequence = reader.real("stepMsPerSequence", 0, 1000, engine.stepMsPerSequence);
    engine.maximumBatch = reader.number("maximumBatch", 1, 10'000, engine.maximumBatch);
    engine.cacheTokens = reader.number("cacheTokens", 0, 1'000'000'000, engine.cacheTokens);
    engine.kvTokensPerSecond = reader.real("kvTokensPerSecond", 1, 1e9, engine.kvTokensPerSecond);
    engine.kvBytesPerToken = reader.number("kvBytesPerToken", 0, 65'536, engine.kvBytesPerToken);
    reader.finish();
    return engine;
}

class StandinDaemon : public Daemon
{
public:
    StandinDaemon(DaemonContext context, const StandinSettings &settings)
        : standin(makeStandin(context.io, settings))
        , server(context.io, settings.listen,
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->standin->handle(request, responder);
              })
    {
    }

    void start() override { this->server.start(); }
    bool isReady() const override { return true; }
    void drain() override { this->server.drain(); }
    /// Always true: a stand-in exits immediately, so that a pending watch cannot delay it.
    bool isDrained() const override { return true; }
    boost::json::object dumpState() const override { return this->standin->dumpState(); }
    std::map<std::string, std::uint16_t> ports() const override
    {
        return { { "listen", this->server.endpoint().port() } };
    }

private:
    static std::unique_ptr<Standin> makeStandin(
        boost::asio::io_context &io, const StandinSettings &settings)
    {
        switch (settings.role) {
        case Role::Engine:
            return makeEngineStandin(io, settings.engine);
        case Role::Plain:
            return makePlainStandin(io);
        case Role::Weights:
            return makeWeightStandin(io);
        case Role::Store:
            break;
        }
        return makeStoreStandin(io);
    }

    std::unique_ptr<Standin> standin;
    HttpServer server;
};

DaemonFactory readStandinSettings(SettingsReader &reader)
{
    StandinSettings settings;
    settings.role = reader.choice<Role>("role", roleNames);
    settings.listen = readEndpoint(reader, "listen", "127.0.0.1:0");
    settings.engine = readEngineSettings(reader.object("engine"));
    return [settings](DaemonContext context) {
        return std::make_unique<StandinDaemon>(context, settings);
    };
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramInfo info{
        "wigeonsill-standin",
        WIGEONSILL_VERSION,
        "Stands in for the platform's store, a model engine, a plain service or the weight store. "
        "For tests only.",
        "Settings: role (store, engine, plain, weights), listen, admin, log, engine.\n"
        "POST /admin/faults on the listening port injects faults.",
    };
    return runDaemon(info, readStandinSettings, argc, argv);
}
