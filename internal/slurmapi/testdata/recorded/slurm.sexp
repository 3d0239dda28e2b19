(slurm
  (cluster "mill")
  (accounting on)
  (listings-per-s 2.5)
  (partition "quick")
  (account "brew"))
