; Settings of Slurm-style clients and accounting: wallrack --config FILE --slurm deploy/slurm.sexp
(slurm
  (cluster "wallrack")    ; the name that clients show
  (accounting on)         ; a row of every job and attempt, see docs/slurm.md
  (listings-per-s 5))     ; squeue and sacct that a controller answers in a second
