; Settings of the Slurm-compatible clients and of accounting: wallrack --config FILE --slurm deploy/slurm.sexp
(slurm
  (cluster "wallrack")    ; cluster name shown by clients
  (accounting on)         ; write a row for every job and attempt, see docs/slurm.md
  (listings-per-s 5))     ; squeue and sacct requests that a controller answers per second
