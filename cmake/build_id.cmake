# Writes build_id.h with what the programs are built from: the commit, and a
# digest of the sources, which also tells changes that are not committed. Run
# with -DSOURCE_DIR=... and -DOUTPUT=...; without OUTPUT it prints both.
cmake_minimum_required(VERSION 3.20)
if(NOT SOURCE_DIR)
  get_filename_component(SOURCE_DIR ${CMAKE_CURRENT_LIST_DIR} DIRECTORY)
endif()

set(FOLDERS core io platform gateway entry agent operator cmake)
set(PATTERNS CMakeLists.txt)
foreach(folder ${FOLDERS})
  list(APPEND PATTERNS ${folder}/*.c ${folder}/*.h ${folder}/*.cmake)
endforeach()
list(TRANSFORM PATTERNS PREPEND ${SOURCE_DIR}/)
file(GLOB files RELATIVE ${SOURCE_DIR} ${PATTERNS})
list(SORT files)
set(digests "")
foreach(file ${files})
  file(SHA256 ${SOURCE_DIR}/${file} digest)
  string(APPEND digests "${digest} ${file}\n")
endforeach()
string(SHA256 sources "${digests}")
string(SUBSTRING ${sources} 0 16 sources)

set(commit "")
execute_process(COMMAND git -C ${SOURCE_DIR} rev-parse --short=12 HEAD
  OUTPUT_VARIABLE commit OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET
  RESULT_VARIABLE result)
if(NOT result EQUAL 0 OR commit STREQUAL "")
  set(commit unknown)
endif()

if(NOT OUTPUT)
  message("commit=${commit} sources=${sources}")
  return()
endif()
# An unchanged file keeps its time, so that nothing is built again.
file(CONFIGURE OUTPUT ${OUTPUT} CONTENT
"#define BUILD_COMMIT \"@commit@\"
#define BUILD_SOURCES \"@sources@\"
" @ONLY)
