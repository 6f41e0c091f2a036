package eventlog

// Bundle events.
var (
	BundleAccepted = Event{700, "bundle_accepted", "A newer bundle was verified and is now in force in this process.",
		[]string{"version", "signer", "approvals"}}
	BundleRefused = Event{701, "bundle_refused", "A new bundle failed validation and was rejected as a whole.",
		[]string{"version", "in_force", "problems"}}
	BundleConflict = Event{702, "bundle_conflict", "A verified bundle has the same version as the bundle in force but different content; it was rejected.",
		[]string{"version"}}
	BundleBaseDiffers = Event{703, "bundle_base_differs", "A bundle delta is based on a different bundle from the one in force; it cannot be applied without the full bundle.",
		[]string{"version", "in_force"}}
	BundleFetchFailed = Event{704, "bundle_fetch_failed", "Fetching a newer bundle from a peer failed.",
		[]string{"peer", "err"}}
)

var bundleEvents = []Event{BundleAccepted, BundleRefused, BundleConflict, BundleBaseDiffers, BundleFetchFailed}
