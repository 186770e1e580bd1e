package gateway

import (
	"net/http"
	"slices"

	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/quarantine"
)

// recordPartCrashes attributes the crash of an upstream to the prompt parts of the suspects. It reports whether other
// boxes should learn of it at once.
func (d *crashDetector) recordPartCrashes(list []suspect) (urgent bool) {
	uses := map[namekey.Key][]quarantine.PartUse{}
	for _, s := range list {
		crashed := s.upstream.Key()
		uses[crashed] = append(uses[crashed], quarantine.PartUse{Parts: s.parts, SentMs: s.sentMs})
	}
	m := d.box.peering.mesh
	for crashed, requests := range uses {
		report := d.box.parts.RecordCrash(crashed, requests, m.IsLarge())
		m.TellPartOwners(report.First)
		d.logPartsQuarantined(report.Quarantined, thisBox)
		urgent = urgent || report.Urgent
	}
	return urgent
}

// isPartAnswer reports whether a response shows that an upstream has begun to write one on the parts of a prompt.
func isPartAnswer(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// handleOutlived processes a response that an upstream still writes after a fatal part of the prompt would have crashed
// it.
func (d *crashDetector) handleOutlived(r *opaque.Request, status int) {
	if isPartAnswer(status) {
		d.recordPartAnswer(r.Parts)
	}
}

// recordPartAnswer records that an upstream answered a request with some parts. Other boxes learn at once of a
// quarantine that ends by this.
func (d *crashDetector) recordPartAnswer(parts quarantine.Parts) {
	released := d.box.parts.RecordAnswer(parts)
	for _, key := range released {
		d.box.log.Record(decision.PartQuarantined{
			Part: key.String(), Quarantine: decision.Quarantine{Source: thisBox},
		})
	}
	if len(released) > 0 {
		d.box.peering.mesh.BroadcastCrashEvents()
	}
}

// recordPartsFromPeer processes crashes by parts of prompts that another box reported. It reports whether this box
// relays any of them.
func (d *crashDetector) recordPartsFromPeer(list []quarantine.PartEvent) (relays bool) {
	return d.recordPartsFrom(anotherBox, list)
}

// recordPartsFrom processes crashes by parts of prompts from a source. It reports whether this box relays any of them.
func (d *crashDetector) recordPartsFrom(source string, list []quarantine.PartEvent) (relays bool) {
	quarantined, relays := d.box.parts.RecordEvents(list)
	d.logPartsQuarantined(quarantined, source)
	return relays
}

func (d *crashDetector) logPartsQuarantined(parts []quarantine.PartKey, source string) {
	settings := d.box.quarantine.Settings()
	for _, key := range parts {
		d.box.log.Record(decision.PartQuarantined{
			Part: key.String(), Quarantine: decision.Quarantine{
				Upstreams: settings.MinCrashes, HoldMs: settings.FirstPartHoldMs(), Source: source,
			},
		})
	}
}

// maxLoggedParts bounds the length of a log line that names parts of prompts.
const maxLoggedParts = 64

// partNames returns the keys of the distinct prompt parts of some suspects, for logs.
func partNames(list []suspect) []string {
	names := []string{}
	for _, s := range list {
		for _, key := range s.parts.Keys {
			if name := key.String(); len(names) < maxLoggedParts && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}
