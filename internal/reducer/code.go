package reducer

// Code numbers a log event; docs/EVENTS.md is the catalogue.
type Code int

// The log events; the texts are in Codes.
const (
	CodeStarted               Code = 1001
	CodeStopping              Code = 1002
	CodeRoleChanged           Code = 1003
	CodeDocumentInForce       Code = 1004
	CodeDocumentInvalid       Code = 1005
	CodeDocumentStale         Code = 1006
	CodeDocumentFresh         Code = 1007
	CodeVMDied                Code = 1008
	CodeOwnerChanged          Code = 1009
	CodeDiskFailed            Code = 1010
	CodeServerNew             Code = 1011
	CodeServerDrained         Code = 1012
	CodeQuarantine            Code = 1013
	CodeStalled               Code = 1014
	CodeChangeAccepted        Code = 1015
	CodeChangeRefused         Code = 1016
	CodeSnapshot              Code = 1017
	CodeReplicaChanged        Code = 1018
	CodePeerRefused           Code = 1019
	CodeListenerFailed        Code = 1020
	CodeAuditFailed           Code = 1021
	CodeAuditDropped          Code = 1022
	CodeDomainSilent          Code = 1023
	CodeDomainHeard           Code = 1024
	CodeClaimUnresolved       Code = 1025
	CodePanicRecovered        Code = 1026
	CodeSettingsRejected      Code = 1027
	CodePlaced                Code = 1028
	CodeNotPlaced             Code = 1029
	CodeSendFailed            Code = 1030
	CodeRequestEnded          Code = 1031
	CodeServerChanged         Code = 1032
	CodeEdition               Code = 1033
	CodeClosure               Code = 1034
	CodeReplicaChangeProposed Code = 1035
	CodeSettingsReloaded      Code = 1036
	CodeLogDropped            Code = 1037
	CodeRosterFailed          Code = 1038
	CodeDiskRecovered         Code = 1039
	CodeHeaderTimeout         Code = 1040
	CodeRequestsCutOff        Code = 1041
	CodeServerNotice          Code = 1042
	CodeDocumentReceived      Code = 1043
	CodeDocumentNotSent       Code = 1044
	CodeMessagesDropped       Code = 1045
	CodeLinkReplaced          Code = 1046
	CodeWayChanged            Code = 1047
	CodeDetour                Code = 1048
	CodeCallerLeft            Code = 1049
	CodeLibraryMessage        Code = 1050
	CodeContact               Code = 1051
	CodeAllowance             Code = 1054
	CodeTokensMoved           Code = 1055
	CodeFairShare             Code = 1060
	CodeFairShareRefused      Code = 1061
	CodeHedge                 Code = 1062
	CodeSlotWait              Code = 1063
	CodeStalledSend           Code = 1064
)

// CodeInfo is the catalogue entry of a code.
type CodeInfo struct {
	Code  Code
	Level string
	Text  string
}

// Codes is the catalogue in ascending order of the codes.
var Codes = []CodeInfo{
	{CodeStarted, "info", "VM started"},
	{CodeStopping, "info", "VM is stopping"},
	{CodeRoleChanged, "info", "control replica changed its role"},
	{CodeDocumentInForce, "info", "steering document is in force"},
	{CodeDocumentInvalid, "error", "steering document does not parse here"},
	{CodeDocumentStale, "warn", "steering document may be old: no word from the control leader"},
	{CodeDocumentFresh, "info", "word from the control leader again"},
	{CodeVMDied, "warn", "VM of this failure domain is dead or restarted"},
	{CodeOwnerChanged, "info", "service has a new owner in this failure domain"},
	{CodeDiskFailed, "error", "data folder failed; this replica acknowledges nothing until it takes writes again"},
	{CodeServerNew, "info", "backend server announced itself"},
	{CodeServerDrained, "info", "backend server that stopped taking work runs nothing"},
	{CodeQuarantine, "warn", "request is suspected or quarantined for crashing backend servers"},
	{CodeStalled, "warn", "VM stood still; its servers must announce themselves again"},
	{CodeChangeAccepted, "info", "change of a section accepted"},
	{CodeChangeRefused, "warn", "change of a section refused"},
	{CodeSnapshot, "info", "snapshot of the control state taken or installed"},
	{CodeReplicaChanged, "info", "set of control replicas changed"},
	{CodePeerRefused, "warn", "call of a peer refused"},
	{CodeListenerFailed, "error", "listener failed"},
	{CodeAuditFailed, "error", "audit trail could not be written"},
	{CodeAuditDropped, "warn", "audit records were dropped before they could be shipped"},
	{CodeDomainSilent, "warn", "no word from a failure domain"},
	{CodeDomainHeard, "info", "word from a failure domain again"},
	{CodeClaimUnresolved, "warn", "claim could not be settled or released"},
	{CodePanicRecovered, "error", "handler failed unexpectedly"},
	{CodeSettingsRejected, "error", "settings do not fit"},
	{CodePlaced, "info", "server chosen for a request"},
	{CodeNotPlaced, "info", "no server chosen for a request"},
	{CodeSendFailed, "info", "send to a server did not succeed"},
	{CodeRequestEnded, "info", "request answered"},
	{CodeServerChanged, "info", "backend server announced a change of itself"},
	{CodeEdition, "info", "whole document applied"},
	{CodeClosure, "info", "failure domain or server closed for new work or opened"},
	{CodeReplicaChangeProposed, "info", "leader changes the replica set"},
	{CodeSettingsReloaded, "info", "settings read again"},
	{CodeLogDropped, "warn", "log lines were dropped: the reader of standard output is slow"},
	{CodeRosterFailed, "warn", "roster of servers could not be kept or read; servers announce themselves anew"},
	{CodeDiskRecovered, "info", "data folder takes writes again; the replica goes on with what it holds"},
	{CodeHeaderTimeout, "info", "caller's connection closed: the header of a request did not end in time"},
	{CodeRequestsCutOff, "warn", "requests were cut off: they outlasted the stop"},
	{CodeServerNotice, "info", "server said in an answer that it leaves, wants no requests for a while, or limits their rate"},
	{CodeDocumentReceived, "info", "text of a newer document arrived"},
	{CodeDocumentNotSent, "error", "document could not be encoded for another VM"},
	{CodeMessagesDropped, "warn", "messages to another VM were dropped: too much is waiting for it"},
	{CodeLinkReplaced, "info", "silent connection to another VM was replaced by a second one that answers"},
	{CodeWayChanged, "info", "way of this VM to the backend servers of a failure domain changed"},
	{CodeDetour, "info", "request passed on to another VM, or taken over for one, for want of a way to the servers"},
	{CodeCallerLeft, "info", "caller left before its request was answered"},
	{CodeLibraryMessage, "info", "HTTP library reports a fault of a connection"},
	{CodeContact, "info", "backend server may have started again, or what it says about that"},
	{CodeAllowance, "info", "request refused for the allowance of its customer"},
	{CodeTokensMoved, "info", "parts of customers' allowances were lent between failure domains"},
	{CodeFairShare, "warn", "servers are short: requests of customers above their share are refused, or no longer"},
	{CodeFairShareRefused, "info", "request refused: servers are short, and its customer had its share"},
	{CodeHedge, "info", "late request was tried on a second server, or one of two tries ended"},
	{CodeSlotWait, "info", "long request waits at this VM for a slot"},
	{CodeStalledSend, "info", "send whose way was lost, and that went on beside other tries, brought the answer or ended"},
}

// Info returns the catalogue entry of a code.
func (c Code) Info() CodeInfo {
	for _, info := range Codes {
		if info.Code == c {
			return info
		}
	}
	return CodeInfo{Code: c, Level: "error", Text: "event without a catalogue entry"}
}
