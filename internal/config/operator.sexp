; The built-in operators' settings. A file given with --operator may repeat
; any of them with another value.
(wallrack
  (shards 1)              ; shards that jobs hash to; at least spread
  (spread 1)              ; controllers that shards are spread over
  (lease-s 5)             ; TTL of a controller's lease, s
  (k-fail 4)              ; cost of losing a worker, the paper's K_fail
  (queue-horizon-s 1)     ; longest wait at which a match is dispatched
  (random-s 0.2)          ; size of the random term in C
  (worker-share 0)        ; part of the connections that workers may take before they are assigned to other controllers too; 0: never
  (publish-s 0.5)         ; interval at which dispatchers publish to leaders elsewhere
  (replace-s 4)           ; excess wait from which on a queued task gets another placement
  (silent-s 14)           ; heartbeat timeout from which on a machine is deleted
  (idle-s 20)             ; idle time from which on a machine is deleted
  (pack-s 1)              ; seconds by which full workers are preferred to empty ones
  (dear-share 0.15)       ; share of C by which a machine at twice the spot price is less preferred
  (late-start-s 30)       ; seconds that missing an objective for a start counts in C
  (headroom-percent 15)   ; capacity kept beyond the demand
  (dear-headroom-percent 3)) ; the same where only on-demand machines could give it
