// Unit tests of the command line: usage errors, local commands, and remote commands against an in-process
// HTTP server.
#include "masticcourse/cli/command_line.hpp"
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/settings/settings.hpp"
#include "masticcourse/telemetry/event.hpp"
#include "masticcourse/telemetry/timeline.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

using namespace masticcourse;

namespace
{

/// Exit code and output of a command.
struct command_result
{
    exit_code code{};
    std::string out;
    std::string err;
};

command_result run(const std::vector<std::string>& args)
{
    std::ostringstream out;
    std::ostringstream err;
    console output{out, err};
    const auto code = run_command_line(args, output);
    return {code, out.str(), err.str()};
}

const std::string urad_settings = std::string{MASTICCOURSE_SOURCE_DIR} + "/deploy/urad.toml";

/// Temporary file, deleted on destruction.
class scratch_file
{
  public:
    scratch_file(const std::string& name, const std::string& content)
        : m_path(std::filesystem::temp_directory_path() / (std::to_string(::getpid()) + "-" + name))
    {
        std::ofstream{m_path} << content;
    }
    scratch_file(const scratch_file&) = delete;
    scratch_file(scratch_file&&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;
    scratch_file& operator=(scratch_file&&) = delete;
    ~scratch_file()
    {
        std::error_code ec;
        std::filesystem::remove(m_path, ec);
    }

    [[nodiscard]] std::string path() const
    {
        return m_path.string();
    }

  private:
    std::filesystem::path m_path;
};

/// HTTP server that returns canned responses and records the requests.
class fake_entry
{
  public:
    explicit fake_entry(std::map<std::string, http_response> answers)
        : m_answers(std::move(answers)),
          m_server(m_context, "127.0.0.1:0", {},
                   [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
                   { answer(request, *exchange); }),
          m_thread([this] { m_context.run(); })
    {
    }
    fake_entry(const fake_entry&) = delete;
    fake_entry(fake_entry&&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;
    fake_entry& operator=(fake_entry&&) = delete;
    ~fake_entry()
    {
        m_context.stop();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server.port());
    }

    [[nodiscard]] std::vector<http_request> requests()
    {
        const std::lock_guard lock{m_mutex};
        return m_requests;
    }

  private:
    void answer(const http_request& request, http_exchange& exchange)
    {
        const std::lock_guard lock{m_mutex};
        m_requests.push_back(request);
        const auto it = m_answers.find(request.method + " " + request.target);
        exchange.respond(it != m_answers.end()
                             ? it->second
                             : problem_response({problem_id::unknown_path, ran_state::no, "nothing here"}));
    }

    boost::asio::io_context m_context{1};
    std::map<std::string, http_response> m_answers;
    std::mutex m_mutex;
    std::vector<http_request> m_requests;
    http_server m_server;
    std::jthread m_thread;
};

} // namespace

TEST_CASE("usage errors exit with code 2 and print a message")
{
    const std::vector<std::vector<std::string>> table{
        {},
        {"frobnicate"},
        {"check"},
        {"check", "--frobnicate"},
        {"check", "a", "b"},
        {"check", "--mark"},
        {"status"},
        {"programs"},
        {"timeline"},
        {"load"},
        {"load", "--settings", urad_settings, "--rate", "0"},
        {"load", "--settings", urad_settings, "--rate", "x"},
        {"patch", "--entry", "127.0.0.1:1", "file"},
        {"patch", "--entry", "127.0.0.1:1", "--expect", "1"},
        {"patch", "--entry", "127.0.0.1:1", "--expect", "1", "/nonexistent/patch.json"},
        {"status", "--settings", "/nonexistent/settings.toml"},
        {"status", "--entry", "127.0.0.1:1", "--token-file", "/nonexistent/token"},
    };
    for (const auto& it : table)
    {
        const auto result = run(it);
        CAPTURE(it.size());
        CHECK(result.code == exit_code::usage);
        CHECK_FALSE(result.err.empty());
    }
}

TEST_CASE("every command prints its help")
{
    const auto overview = run({"--help"});
    CHECK(overview.code == exit_code::ok);
    for (const auto* name : {"check", "patch", "status", "programs", "timeline", "load", "events"})
    {
        const auto result = run({name, "--help"});
        CHECK(result.code == exit_code::ok);
        CHECK(result.out.starts_with("masticcourse " + std::string{name}));
        CHECK(overview.out.find("  " + std::string{name}) != std::string::npos);
    }
}

TEST_CASE("check accepts valid settings and reports errors in invalid ones")
{
    CHECK(run({"check", urad_settings}).code == exit_code::ok);
    const scratch_file bad{"bad.toml", "customer = 3\ncolour = 4\n"};
    const auto result = run({"check", bad.path()});
    CHECK(result.code == exit_code::usage);
    CHECK(result.err.find(bad.path() + ":2: colour: unknown key\n") != std::string::npos);
    const auto as_json = run({"check", "--json", bad.path()});
    CHECK(nlohmann::json::parse(as_json.out).size() >= 2);
}

TEST_CASE("reference pages can be generated from the command line")
{
    CHECK(run({"events", "--markdown"}).out == event_reference());
    CHECK(run({"check", "--markdown"}).out == settings_reference());
    CHECK(nlohmann::json::parse(run({"events", "--json"}).out).size() == event_catalogue.size());
}

TEST_CASE("patch sends the expected version and the operator token")
{
    fake_entry entry{{{"PATCH /v1/config", {.body = R"({"limits":{}})", .headers = {{"ETag", "\"8\""}}}}}};
    const scratch_file patch{"patch.json", R"({"limits":null})"};
    const scratch_file token{"token", "secret-of-operators\n"};
    const auto result = run(
        {"patch", "--entry", entry.address(), "--token-file", token.path(), "--expect", "7", patch.path()});
    CHECK(result.code == exit_code::ok);
    CHECK(result.out == "version 8\n{\"limits\":{}}\n");
    const auto requests = entry.requests();
    REQUIRE(requests.size() == 1);
    CHECK(requests.front().body == R"({"limits":null})");
    CHECK(requests.front().header("If-Match") == "\"7\"");
    CHECK(requests.front().header("Authorization") == "Bearer secret-of-operators");
}

TEST_CASE("a rejected patch exits with code 1 and prints the problem")
{
    fake_entry entry{{{"PATCH /v1/config", problem_response({problem_id::version_conflict, ran_state::no,
                                                             "version 9 is in force"})}}};
    const scratch_file patch{"conflict.json", "{}"};
    const auto result = run({"patch", "--entry", entry.address(), "--expect", "7", patch.path()});
    CHECK(result.code == exit_code::remote_failure);
    CHECK(result.err.find("version 9 is in force") != std::string::npos);
}

TEST_CASE("patch without a version prints the current configuration")
{
    fake_entry entry{{{"GET /v1/config", {.body = "{}", .headers = {{"ETag", "\"3\""}}}}}};
    CHECK(run({"patch", "--entry", entry.address()}).out == "version 3\n{}\n");
}

TEST_CASE("an unreachable entry gives exit code 3")
{
    // The port is closed once the server is destroyed.
    std::string address;
    {
        const fake_entry closed_entry{{}};
        address = closed_entry.address();
    }
    const auto result = run({"status", "--entry", address});
    CHECK(result.code == exit_code::unreachable);
    CHECK(result.out.find("unreachable") != std::string::npos);
}

TEST_CASE("status and programs print the replies of the entries and tolerate malformed ones")
{
    struct row
    {
        const char* status;
        const char* programs;
        const char* shown;
    };
    constexpr std::array table{
        row{R"({"programs":17,"config":4,"peers":[{"live":true},{"live":false}]})",
            R"({"programs":[{"program":"p-1","turns":3,"class":"assistance"}]})", "1/2"},
        row{"no json", "[]", "-"},
        row{"[]", R"({"programs":[3,{"program":"p-1","ended":true}]})", "-"},
        row{R"({"peers":3})", R"({"programs":7})", "-"},
    };
    for (const auto& it : table)
    {
        fake_entry entry{{{"GET /readyz", {}},
                          {"GET /v1/status", {.body = it.status}},
                          {"GET /v1/programs", {.body = it.programs}}}};
        const auto status = run({"status", "--entry", entry.address()});
        CHECK(status.code == exit_code::ok);
        CHECK(status.out.find(it.shown) != std::string::npos);
        CHECK(run({"programs", "--entry", entry.address()}).code == exit_code::ok);
        CHECK(nlohmann::json::parse(run({"programs", "--json", "--entry", entry.address()}).out).is_array());
        CHECK(nlohmann::json::parse(run({"status", "--json", "--entry", entry.address()}).out).size() == 1);
    }
}

TEST_CASE("ended programs are listed only with --all")
{
    fake_entry entry{
        {{"GET /v1/programs",
          {.body = R"({"programs":[{"program":"p-1","ended":true},{"program":"p-2","ended":false}]})"}}}};
    const auto rows = [&](const std::vector<std::string>& more)
    {
        std::vector<std::string> args{"programs", "--json", "--entry", entry.address()};
        args.insert(args.end(), more.begin(), more.end());
        return nlohmann::json::parse(run(args).out).size();
    };
    CHECK(rows({}) == 1);
    CHECK(rows({"--all"}) == 2);
}

TEST_CASE("timeline merges the exports of all processes and reports unusable ones")
{
    timeline of_entry{{"entry-1"}, 4};
    of_entry.record(
        {.timestamp = {std::chrono::microseconds{2}, 0}, .id = event_id::call_accepted, .program = {"p"}});
    timeline of_target{{"llm-1"}, 4};
    of_target.record({.timestamp = {std::chrono::microseconds{1}, 0}, .id = event_id::peer_up});
    fake_entry entry{{{"GET /v1/timeline", {.body = of_entry.to_json()}}}};
    fake_entry target{{{"GET /v1/timeline", {.body = of_target.to_json()}}}};
    fake_entry broken{{{"GET /v1/timeline", {.body = "no json"}}}};
    const auto settings = [&](const std::string& http_of_target)
    {
        return "customer = \"c\"\noperator_token = \"operator-token-16\"\n"
               "platform = {store_address = \"127.0.0.1:1\"}\nservices = [{name = \"llm\", kind = "
               "\"model\"}]\n"
               "entries = [{name = \"entry-1\", region = \"r\", failure_domain = \"d\", peer_address = "
               "\"127.0.0.1:2\", http_address = \"" +
               entry.address() +
               "\"}]\ntargets = [{name = \"llm-1\", region = \"r\", failure_domain = \"d\", service = "
               "\"llm\", "
               "peer_address = \"127.0.0.1:3\", backend_address = \"127.0.0.1:4\", http_address = \"" +
               http_of_target + "\"}]\n";
    };
    const scratch_file good{"timeline.toml", settings(target.address())};
    const auto listed = run({"timeline", "--settings", good.path()});
    CHECK(listed.code == exit_code::ok);
    const auto first = listed.out.find("llm-1 . E4001 peer_up");
    CHECK(first != std::string::npos);
    CHECK(listed.out.find("entry-1 . E2101 call_accepted program=p") > first);
    const auto filtered = run({"timeline", "--settings", good.path(), "--program", "p"});
    CHECK(filtered.out.find("peer_up") == std::string::npos);
    CHECK(nlohmann::json::parse(run({"timeline", "--settings", good.path(), "--json"}).out)
              .contains("traceEvents"));

    const scratch_file trace{"out.json", ""};
    const scratch_file listing{"out.txt", ""};
    const auto prefix = trace.path().substr(0, trace.path().size() - std::string{".json"}.size());
    CHECK(run({"timeline", "--settings", good.path(), "--out", prefix}).code == exit_code::ok);
    CHECK(std::filesystem::file_size(trace.path()) > 0);
    CHECK(std::filesystem::file_size(listing.path()) == listed.out.size());

    const scratch_file partial{"timeline-partial.toml", settings(broken.address())};
    const auto incomplete = run({"timeline", "--settings", partial.path()});
    CHECK(incomplete.code == exit_code::remote_failure);
    CHECK(incomplete.err.find("llm-1") != std::string::npos);
    CHECK(incomplete.out.find("call_accepted") != std::string::npos);
}
