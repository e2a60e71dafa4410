# Flags shared by every target of the workspace.
add_library(radishspread_flags INTERFACE)
target_compile_options(
    # Designated initialisers leave members at their defaults on purpose.
    radishspread_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                                 -Wno-missing-field-initializers)
if(RADISHSPREAD_SANITIZE)
    # GCC 12 reports false array bounds in instrumented code, so warnings are
    # errors only in the other presets.
    target_compile_options(
        radishspread_flags
        INTERFACE -fsanitize=${RADISHSPREAD_SANITIZE} -fno-omit-frame-pointer
                  -fno-sanitize-recover=all)
    target_link_options(
        radishspread_flags INTERFACE -fsanitize=${RADISHSPREAD_SANITIZE})
else()
    target_compile_options(radishspread_flags INTERFACE -Werror)
endif()

# radishspread_library(NAME SOURCES... ) adds the package library
# radishspread_NAME, alias radishspread::NAME, with its include directory.
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

# radishspread_test(NAME LIBRARIES... ) adds the CppUTest program
# radishspread_NAME_test from tests/*.cpp of the calling directory, or of that
# directory itself if it has no tests/ below it.
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
