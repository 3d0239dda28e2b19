; The built-in operators' settings. A file given with --operator may repeat
; any of them with another value.
(wallrack
  (shards 1)              ; shards that jobs hash to; at least spread
  (spread 1)              ; controllers that shards are spread over
  (lease-s 5)             ; life of a controller's lease
  (k-fail 4)              ; cost of losing a machine, the paper's K_fail
  (queue-horizon-s 1)     ; longest wait at which a match is dispatched
  (random-s 0.2)          ; size of the random term in C
  (worker-share 0)        ; part of the connections that workers may take before other controllers hold some; 0: never
  (publish-s 0.5)         ; how often holders publish to owners elsewhere
  (replace-s 4)           ; excess wait that makes a queued task look elsewhere
  (silent-s 14)           ; silence after which a machine is returned
  (idle-s 20)             ; idle time after which a machine is returned
  (pack-s 1)              ; seconds by which full machines are preferred to empty ones
  (dear-share 0.15)       ; share of C by which a machine at twice the spot price is put back
  (late-start-s 30)       ; seconds that missing an aim for a start counts in C
  (headroom-percent 15)   ; capacity kept beyond the demand
  (dear-headroom-percent 3)) ; the same where only ordinary machines could give it
