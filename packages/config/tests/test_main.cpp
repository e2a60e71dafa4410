#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// yaml-cpp builds regular expressions on first use and keeps them, which the
// leak check of CppUTest reports; LeakSanitizer (preset sanitize) does not.
int main(int argc, char** argv) {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
