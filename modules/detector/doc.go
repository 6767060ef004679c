// Package detector registers the health detectors as plug-ins.
//
// detector.sequential is the default. Its settings hold one profile for each
// service policy, with every threshold visible:
//
//	{
//	  "ridemark":   {"threshold": 13.8}, // nats; lower ejects sooner
//	  "consortium": {"threshold": 27.6}, // higher ejects less often in error
//	}
//
// Omitted values keep their defaults. detector.consecutive is the baseline; it
// suspects a server after "failures" failures in a row whatever the policy.
package detector
