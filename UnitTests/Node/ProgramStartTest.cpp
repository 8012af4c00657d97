#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <gtest/gtest.h>
#include <spawn.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

/// Starts the program with a settings file that is a pipe, so that the program waits in the middle
/// of its start until the test writes the settings.
class ProgramStart : public testing::TestWithParam<int>
{
protected:
    ProgramStart()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "program-XXXXXX").string();
        if (mkdtemp(pattern.data()))
            this->folder = pattern;
        this->settingsFile = this->folder + "/settings";
        mkfifo(this->settingsFile.c_str(), S_IRUSR | S_IWUSR);
        std::string program = NODE_PROGRAM;
        std::string option = "--settings";
        const std::array<char *, 4> arguments{program.data(), option.data(),
                                              this->settingsFile.data(), nullptr};
        posix_spawn(&this->id, program.c_str(), nullptr, nullptr, arguments.data(), environ);
    }
    ~ProgramStart() override
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    std::string folder;
    std::string settingsFile;
    pid_t id = 0;
};

} // namespace

TEST_P(ProgramStart, SignalBeforeTheSettingsAreReadDoesNotEndTheProcess)
{
    // Opening the pipe waits until the program has opened it.
    const int settings = open(this->settingsFile.c_str(), O_WRONLY);
    kill(this->id, this->GetParam());
    const std::string wrong = "not settings";
    EXPECT_EQ(write(settings, wrong.data(), wrong.size()), static_cast<ssize_t>(wrong.size()));
    close(settings);
    int status = 0;
    ASSERT_EQ(waitpid(this->id, &status, 0), this->id);
    // The program has gone on with its start and found the settings wrong.
    EXPECT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), 2);
}

INSTANTIATE_TEST_SUITE_P(Signals, ProgramStart, testing::Values(SIGHUP, SIGTERM));
