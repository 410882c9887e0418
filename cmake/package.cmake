add_compile_options(-Wall -Wextra -Wpedantic -Wno-subobject-linkage
  -Wno-mismatched-new-delete)
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED)
# Boost 1.74 uses std::exchange in asio/awaitable.hpp without including its header.
add_compile_options(-include utility)

# Defines the library NAME from packages/NAME and its test program test_NAME.
# ROOT and INCLUDES: its directory and include path, if it stands elsewhere.
# DEPENDS: targets the library links publicly. PRIVATE: targets only its sources use.
function(sassafrasyard_package NAME)
  cmake_parse_arguments(ARG "" "ROOT;INCLUDES" "DEPENDS;PRIVATE" ${ARGN})
  set(ROOT ${CMAKE_SOURCE_DIR}/packages/${NAME})
  set(INCLUDES ${CMAKE_SOURCE_DIR}/packages)
  if(ARG_ROOT)
    set(ROOT ${ARG_ROOT})
    set(INCLUDES ${ARG_INCLUDES})
  endif()
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${ROOT}/*.cpp)
  set(TESTS ${SOURCES})
  list(FILTER SOURCES EXCLUDE REGEX "/tests/")
  list(FILTER TESTS INCLUDE REGEX "/tests/")
  if(SOURCES)
    add_library(${NAME} STATIC ${SOURCES})
    target_include_directories(${NAME} PUBLIC ${INCLUDES})
    target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE})
  else()
    add_library(${NAME} INTERFACE)
    target_include_directories(${NAME} INTERFACE ${INCLUDES})
    target_link_libraries(${NAME} INTERFACE ${ARG_DEPENDS} ${ARG_PRIVATE})
  endif()
  if(TESTS AND SASSAFRASYARD_TESTS)
    add_executable(test_${NAME} ${TESTS})
    target_link_libraries(test_${NAME} PRIVATE ${NAME} ${ARG_PRIVATE} test_main)
    add_test(NAME ${NAME} COMMAND test_${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300
      ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200")
  endif()
endfunction()
