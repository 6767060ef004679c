package demo

// daemonArguments returns the command line of usherd.
func daemonArguments(settings string) []string { return []string{"--settings", settings} }

// apiArguments returns the command line of usher-api.
func apiArguments(settings string) []string { return []string{"--settings", settings} }

// apiSettings returns the settings of usher-api.
func (r *run) apiSettings() any { return nil }
