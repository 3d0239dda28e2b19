; Example settings for rollouts: wallrack --config FILE --rollouts deploy/rollouts.sexp
(rollouts
  ; server from which workers fetch the uploaded descriptions of services
  (descriptions "http://127.0.0.1:7700")
  ; slot during which no rollout step begins: name, schedule (cron), time zone, minutes
  (slot "nightly split" "30 1 * * *" "Europe/London" 90)
  ; no step begins while a job of this class is unfinished
  (slot-class "tip-split"))
