; The defaults of the operators' settings. A file given with --operator may
; override any of them.
(wallrack
  (shards 1)              ; number of shards, at least the value of spread
  (spread 1)              ; number of controllers over which the shards are distributed
  (lease-s 5)             ; TTL of a controller's lease, s
  (k-fail 4)              ; weight of a worker failure in the placement cost C, the paper's K_fail
  (queue-horizon-s 1)     ; a task is placed on a worker only if its expected wait there is at most this, s
  (random-s 0.2)          ; upper bound of the random term in C, s
  (worker-share 0)        ; share of a controller's connections above which workers are also assigned to other controllers; 0: never
  (publish-s 0.5)         ; interval at which dispatchers send views to leaders on other controllers, s
  (replace-s 4)           ; wait beyond the expected one after which a queued task is also placed on another worker, s
  (silent-s 14)           ; time without a heartbeat after which a machine is deleted, s
  (idle-s 20)             ; idle time after which a machine is deleted, s
  (pack-s 1)              ; amount added to C for an empty worker, s
  (dear-share 0.15)       ; share of C added for a machine at twice the spot price
  (late-start-s 30)       ; amount added to C if a task would miss its start objective, s
  (headroom-percent 15)   ; spare capacity to provision above the demand, %
  (dear-headroom-percent 3)) ; the same for capacity that only on-demand machines can provide, %
