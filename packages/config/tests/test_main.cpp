#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// yaml-cpp builds regular expressions on first use and retains them. CppUTest's
// leak check reports them as leaks, so it is disabled here. LeakSanitizer
// (preset sanitize) does not report them.
int main(int argc, char** argv) {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
