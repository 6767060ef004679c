package capacity

// Rewrite is a placeholder.
func Rewrite(page, file string) error { return nil }
