# Compiler and linker flags shared by all targets of this project.
add_library(radishspread_flags INTERFACE)
target_compile_options(
    # Designated initializers rely on the default values of omitted members.
    radishspread_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                                 -Wno-missing-field-initializers)
if(RADISHSPREAD_SANITIZE)
    # GCC 12 gives false array-bounds warnings in instrumented code, so warnings
    # are errors only in builds without sanitizers.
    target_compile_options(
        radishspread_flags
        INTERFACE -fsanitize=${RADISHSPREAD_SANITIZE} -fno-omit-frame-pointer
                  -fno-sanitize-recover=all)
    target_link_options(
        radishspread_flags INTERFACE -fsanitize=${RADISHSPREAD_SANITIZE})
else()
    target_compile_options(radishspread_flags INTERFACE -Werror)
endif()

# radishspread_library(NAME SOURCES...) adds the static library
# radishspread_NAME of a package, with the alias radishspread::NAME, and
# installs it with its include directory.
function(radishspread_library name)
    add_library(radishspread_${name} STATIC ${ARGN})
    add_library(radishspread::${name} ALIAS radishspread_${name})
    target_include_directories(
        radishspread_${name}
        PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
               $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
    target_link_libraries(
        radishspread_${name} PRIVATE $<BUILD_INTERFACE:radishspread_flags>)
    install(TARGETS radishspread_${name} ARCHIVE COMPONENT development)
    install(
        DIRECTORY include/
        TYPE INCLUDE
        COMPONENT development)
endfunction()

# radishspread_test(NAME LIBRARIES...) adds the CppUTest program
# radishspread_NAME_test and registers it with CTest. Its sources are
# tests/*.cpp in the calling directory, or *_test.cpp and test_main.cpp in that
# directory itself if there are none.
function(radishspread_test name)
    if(NOT RADISHSPREAD_TESTS)
        return()
    endif()
    file(GLOB sources CONFIGURE_DEPENDS tests/*.cpp)
    if(NOT sources)
        file(GLOB sources CONFIGURE_DEPENDS *_test.cpp test_main.cpp)
    endif()
    add_executable(radishspread_${name}_test ${sources})
    target_include_directories(
        radishspread_${name}_test PRIVATE ${CPPUTEST_INCLUDE_DIR}
                                          ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(
        radishspread_${name}_test PRIVATE radishspread_flags ${ARGN}
                                          ${CPPUTEST_LIBRARY})
    add_test(NAME ${name} COMMAND radishspread_${name}_test -c)
endfunction()
