(rollouts (slot-class "a"))
