; A small load test with wallrack scale: 100 workers, about half a minute.
(scale
  (workers 100) (controllers 3) (zones 10) (regions 5) (rack-workers 4)
  (teams 16) (team-spare-cpus 30)
  (running 200) (run-s 1) (tasks-per-job 10) (boot-s 0.2)
  (report-s 0.5) (lease-s 3) (cancel-s 10) (cloud-rps 50) (cloud-lag-s 0.5)
  (steady-starts 10) (steady-s 4) (peak-starts 80) (peak-s 5) (urgent-starts 2)
  (failures-a-day 700) (restarts-a-day 5000) (failures-s 4)
  (rack-cut-s 4) (zone-cut-s 4) (region-cut-s 4) (settle-s 1) (restart-every-s 2) (drain-s 10))
