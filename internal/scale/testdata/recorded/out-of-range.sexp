(scale (workers 30000))
