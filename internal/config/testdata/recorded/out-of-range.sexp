(wallrack (lease-s 1))
