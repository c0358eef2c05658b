# Runs the program of a case, which ends the processes that it starts. To be sourced in the folder of
# a case, with the name of the program in $case_program.
folder=$(pwd)
cd ../.. || exit 2
program=target/review-2/$case_program
if [ ! -x "$program" ] || [ ! -x target/goldcrest_routerd ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
timeout 115 "$program" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
tail -n 2 "$folder/record.txt"
exit "$code"
