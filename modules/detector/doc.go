// Package detector registers the failure detectors of core/detector as modules.
//
// detector.sequential is the default. Its settings hold one profile for each
// service policy, in which every threshold can be set:
//
//	{
//	  "ridemark":   {"threshold": 11.5}, // nats; a lower value ejects sooner
//	  "consortium": {"threshold": 25.3}, // a higher value causes fewer false ejections
//	}
//
// Omitted values keep their defaults. detector.consecutive is the baseline for
// comparison; it suspects a server after "failures" failures in a row, whatever
// the policy.
package detector
