; A load test of the planned cluster size with wallrack scale. docs/scale-run.md
; explains each key and lists the defaults of the keys omitted here.
(scale
  (workers 2600) (controllers 6) (zones 10) (regions 5) (rack-workers 40)
  (teams 410)
  (running 11000)            ; tasks running on workers in the steady state
  (steady-starts 90) (steady-s 60)
  (peak-starts 890) (peak-s 60)
  (urgent-starts 5) (urgent-within-s 1.7)
  (failures-a-day 23) (restarts-a-day 330) (day-pace 60) (failures-s 180)
  (rack-cut-s 180) (zone-cut-s 180) (region-cut-s 180)
  (restart-every-s 20))      ; seconds between the restarts of controllers in the rolling restart
