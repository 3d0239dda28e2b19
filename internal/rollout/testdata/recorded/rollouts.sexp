(rollouts
  (descriptions "http://127.0.0.1:7700")
  (slot "nightly split" "30 1 * * *" "Europe/London" 90)
  (slot "lunch" "0 12 * * 1-5" "Asia/Tokyo" 60)
  (slot-class "tip-split")
  (slot-class "audit"))
