package capacity

func measureRequests() ([]Fit, error) { return nil, nil }
