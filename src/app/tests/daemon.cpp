#include "foundation/error.h"
#include "operators/adminclient.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <spawn.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace clementinesill;

namespace {

constexpr auto adminEndpoint = "127.0.0.1:23301";

// Upper bound of a wait; reached only if the daemon fails.
constexpr std::chrono::seconds waitTimeout { 60 };

bool waitFor(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

std::string readFile(const std::string& file)
{
    std::ifstream stream(file);
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

} // namespace

// Runs the daemon as a controller group with a single member.
TEST_GROUP(Daemon)
{
    std::string folder;
    pid_t process = 0;
    // Daemon that runs at the same time as the one under test; 0 if none.
    pid_t otherProcess = 0;

    void setup() override
    {
        char path[] = "/tmp/clementinesill-test-XXXXXX";
        folder = mkdtemp(path);
        std::filesystem::create_directory(folder + "/data");
    }

    void teardown() override
    {
        killProcess(process);
        killProcess(otherProcess);
        std::filesystem::remove_all(folder);
    }

    static void killProcess(pid_t & running)
    {
        if (!running)
            return;
        kill(running, SIGKILL);
        waitpid(running, nullptr, 0);
        running = 0;
    }

    std::string settingsFile() const { return folder + "/daemon.json"; }
    std::string logText() const { return readFile(folder + "/daemon.log"); }

    void writeSettings(const std::string& logLevel, int leaseMs = 3000)
    {
        std::ofstream(settingsFile()) << R"({"name":"c1","log":{"level":")" << logLevel << R"(","file":")" << folder << R"(/daemon.log"},
            "admin":{"endpoint":")" << adminEndpoint
                                      << R"("},
            "controller":{"endpoint":"127.0.0.1:23300","dataFolder":")"
                                      << folder << R"(/data","serverLeaseMs":)" << leaseMs << R"(,
            "peers":[{"name":"c1","endpoint":"127.0.0.1:23300"}]}})";
    }

    void startDaemon(const std::vector<std::string>& arguments)
    {
        std::vector<char*> pointers { const_cast<char*>(DAEMON_PROGRAM) };
        for (const auto& argument : arguments)
            pointers.push_back(const_cast<char*>(argument.c_str()));
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, (folder + "/stderr").c_str(), O_WRONLY | O_CREAT | O_TRUNC, S_IRUSR | S_IWUSR);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
        LONGS_EQUAL(0, posix_spawn(&process, DAEMON_PROGRAM, &actions, nullptr, pointers.data(), environ));
        posix_spawn_file_actions_destroy(&actions);
    }

    // Waits for the process and returns its exit code; -1 if a signal ended it or it is still running after the timeout.
    int waitForExit()
    {
        int status = 0;
        if (!waitFor([&] { return waitpid(process, &status, WNOHANG) == process; }))
            return -1;
        process = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    int runDaemon(const std::vector<std::string>& arguments)
    {
        startDaemon(arguments);
        return waitForExit();
    }

    static bool isReady()
    {
        try {
            return operators::fetchAdminPage(adminEndpoint, "/ready", waitTimeout) == "ready\n";
        } catch (const Error&) {
            return false;
        }
    }

    bool logContains(const std::string& event) const { return logText().find("\"event\":\"" + event + "\"") != std::string::npos; }

    void reloadAndExpectEvent(const std::string& event)
    {
        kill(process, SIGHUP);
        CHECK_TRUE_TEXT(waitFor([&] { return logContains(event); }), event.c_str());
    }
};

TEST(Daemon, CheckValidatesSettingsAndExits)
{
    writeSettings("info");
    LONGS_EQUAL(0, runDaemon({ "--check", settingsFile() }));
    CHECK(!std::filesystem::exists(folder + "/daemon.log"));
    writeSettings("loud");
    LONGS_EQUAL(3, runDaemon({ "--check", settingsFile() }));
    LONGS_EQUAL(3, runDaemon({ settingsFile() }));
    const auto line = readFile(folder + "/stderr");
    STRCMP_EQUAL(("clementinesilld: " + settingsFile() + ":1: key 'log.level': 'loud' is not known; write one of \"debug\", \"info\", \"warn\", \"error\"\n").c_str(), line.c_str());
    LONGS_EQUAL(2, runDaemon({}));
    LONGS_EQUAL(2, runDaemon({ "--colour" }));
}

TEST(Daemon, ServesUntilTerminated)
{
    writeSettings("info");
    startDaemon({ settingsFile() });
    CHECK_TRUE_TEXT(waitFor(isReady), readFile(folder + "/stderr").c_str());
    const auto status = operators::fetchAdminPage(adminEndpoint, "/status", waitTimeout);
    CHECK_TRUE_TEXT(status.find("\"daemon\":\"c1\"") != std::string::npos, status.c_str());
    kill(process, SIGTERM);
    LONGS_EQUAL(0, waitForExit());
    CHECK(logContains("daemon_stopped"));
}

TEST(Daemon, HangupReloadsLogLevelAndReportsOtherChanges)
{
    writeSettings("info");
    startDaemon({ settingsFile() });
    CHECK_TRUE_TEXT(waitFor(isReady), readFile(folder + "/stderr").c_str());
    writeSettings("debug");
    reloadAndExpectEvent("settings_reloaded");
    CHECK(logText().find(R"("event":"setting_applied","setting":"log.level","old":"\"info\"","new":"\"debug\"")") != std::string::npos);
    CHECK_TRUE_TEXT(!logContains("settings_need_restart"), logText().c_str());
    writeSettings("debug", 4000);
    reloadAndExpectEvent("settings_need_restart");
    CHECK(logText().find(R"("setting":"controller.serverLeaseMs","old":"3000","new":"4000")") != std::string::npos);
    writeSettings("loud");
    reloadAndExpectEvent("settings_refused");
    CHECK(isReady());
    kill(process, SIGTERM);
    LONGS_EQUAL(0, waitForExit());
}

TEST(Daemon, FailsWhenAddressIsInUse)
{
    writeSettings("info");
    startDaemon({ settingsFile() });
    CHECK_TRUE_TEXT(waitFor(isReady), readFile(folder + "/stderr").c_str());
    otherProcess = process;
    LONGS_EQUAL(3, runDaemon({ settingsFile() }));
    CHECK(readFile(folder + "/stderr").find("in use") != std::string::npos);
}
