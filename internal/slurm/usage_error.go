package slurm

// UsageError is an error in what a user typed, or asked for by number or name. Its text is printed
// as it is, and scripts compare it.
type UsageError struct {
	Where  string // "script line 4", or ""
	Option string // without dashes, or ""
	Why    string
}

func (u *UsageError) Error() string {
	text := u.Why
	if u.Option != "" {
		text = "--" + u.Option + ": " + text
	}
	if u.Where != "" {
		text = u.Where + ": " + text
	}
	return text
}
