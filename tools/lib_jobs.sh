# Runs jobs on a deployment started by tools/lib_system.sh and judges them by the platform stand-in's records.
# shellcheck shell=bash
repeatable_jobs=40 single_jobs=20

submit() {  # PREFIX COUNT FLAGS...
  local prefix=$1 count=$2
  shift 2
  "$bin/camphormux-submit-jobs" --platform "127.0.0.1:$((base + 1))" --prefix "$prefix" --count "$count" \
    --team "$(sed -n 's/^\[team \(.*\)\]/\1/p' "examples/$deployment/fleet.ini" | head -1)" \
    --pool "$(sed -n 's/^spare_pool = //p' "examples/$deployment/fleet.ini")" "$@"
}

# Submits jobs that yield, jobs that may not be run twice, and jobs that can never run.
submit_jobs() {
  platform_control run_time "{\"run_ms\":${job_run_ms:-3000}}"
  submit again "$repeatable_jobs"
  submit once "$single_jobs" --repeatable=false --preemptible=false
  submit never 2 --memory_mib 1000000000
}

job_runs() { curl -s -m 5 "http://127.0.0.1:$((base + 1))/control/runs" | grep -o "\"$1-[0-9]*\":{[^}]*}"; }
finished_jobs() { job_runs "$1" | grep -c '"done":[1-9]' || true; }
started_twice() { job_runs "$1" | grep -Ec '"starts":([2-9]|[1-9][0-9])' || true; }
all_jobs_finished() {
  [ "$(finished_jobs again)" = "$repeatable_jobs" ] && [ "$(finished_jobs once)" = "$single_jobs" ]
}

# Prints what became of the jobs. Fails if one that may not be run twice started twice, or one that can never run ran.
check_jobs() {
  local once=0
  once=$(started_twice once)
  printf '%-24s %s of %s\n' "jobs finished" "$(($(finished_jobs again) + $(finished_jobs once)))" \
    "$((repeatable_jobs + single_jobs))"
  printf '%-24s %s repeatable, %s that may not (limit 0)\n' "jobs started twice" "$(started_twice again)" "$once"
  [ "$once" = 0 ] && [ "$(finished_jobs never)" = 0 ]
}
