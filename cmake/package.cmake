# Compiler options and functions that all packages of the workspace use.

add_library(ggv_options INTERFACE)
target_compile_options(ggv_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)
# g++ 12 wrongly reports mismatched allocation functions for frames of inlined coroutines.
target_compile_options(ggv_options INTERFACE -Wno-mismatched-new-delete)
target_link_libraries(ggv_options INTERFACE Threads::Threads)

# ggv_package(<layer> <libraries>...): a static library from all sources under ggv/<layer>.
function(ggv_package layer)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/ggv/*.cpp)
  add_library(ggv_${layer} STATIC ${sources})
  target_include_directories(ggv_${layer} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(ggv_${layer} PUBLIC ${ARGN} PRIVATE ggv_options)
endfunction()

# ggv_package_tests(<layer> <libraries>...): one CppUnit runner from all *_test.cpp under test/.
function(ggv_package_tests layer)
  if(NOT GGV_BUILD_TESTS)
    return()
  endif()
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*_test.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(ggv_${layer}_test ${sources} ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp)
  target_include_directories(ggv_${layer}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/test)
  target_link_libraries(ggv_${layer}_test PRIVATE ggv_${layer} ${ARGN} rapidcheck
                        PkgConfig::CPPUNIT ggv_options)
  add_test(NAME ${layer} COMMAND ggv_${layer}_test)
endfunction()

# ggv_package_benchmarks(<layer> <libraries>...): one Google Benchmark runner from bench/*_bench.cpp.
function(ggv_package_benchmarks layer)
  if(NOT GGV_BUILD_BENCHMARKS)
    return()
  endif()
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/bench/*_bench.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(ggv_${layer}_bench ${sources})
  target_link_libraries(ggv_${layer}_bench PRIVATE ggv_${layer} ${ARGN} benchmark::benchmark_main
                        ggv_options)
endfunction()

# ggv_test_program(<name> <source> <libraries>...): a simulated target or caller for tests.
function(ggv_test_program name source)
  if(NOT GGV_BUILD_TESTS)
    return()
  endif()
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE ${ARGN} PkgConfig::POPT ggv_options)
endfunction()
