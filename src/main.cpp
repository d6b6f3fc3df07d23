// tideline: the command line. Each sub-command has a file of its own under cli/.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "cli/serve.hpp"

namespace {

using namespace tideline;

void add_sidecar(CLI::App& app, cli::ServeWish& wish) {
    app.add_option("--config", wish.told, "what it is told at start, a JSON file")->envname("PROXY_CONFIG");
    app.add_option("--fleet", wish.fleet, "operator file of the fleet; without it the fleet is off")
        ->envname("TIDELINE_FLEET");
    app.add_flag(
        "--log-json", [&wish](auto) { wish.log = net::Log::Form::json; },
        "the log as one JSON object a line");
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Routes invocations over pods and judges builds on trial.", "tideline");
    app.require_subcommand(0, 1);
    cli::ServeWish serve;
    add_sidecar(app, serve);
    CLI::App* sidecar = app.add_subcommand("sidecar", "one real sidecar; what `tideline` alone is too");
    add_sidecar(*sidecar, serve);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        if (serve.told.empty()) {
            std::fprintf(stderr, "tideline: neither --config nor PROXY_CONFIG names a file\n");
            return 2;
        }
        return cli::serve(serve);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "tideline: %s\n", error.what());
        return 1;
    }
}
