package agexplain

// The reasons of decisions, as balancers log them in Reason and agents in Cause.

// reason is what explanations say of a decision.
type reason struct {
	// meaning is one sentence of the output of the explain command. It is empty if the
	// flow is served.
	meaning string
	// effect is what callers see, empty for nothing.
	effect Effect
}

var reasons = map[string]reason{
	"Lookup":                        {effect: EffectSearch},
	"Busy":                          {meaning: "the host had too many requests in progress, so the next candidate was tried", effect: EffectBusy},
	"ExpectedWait":                  {meaning: "a request of the flow's class was not expected to be served within its attempt budget at this host; the line has Class, Wait and Budget", effect: EffectBusy},
	"NoRoute":                       {meaning: "the desired state in effect has no route for the service address; compare Version with the operators'"},
	"NoHost":                        {meaning: "no host of the service took new flows: draining, cold, evacuated, without recent statuses or in another region", effect: EffectRefused},
	"NoDesiredState":                {meaning: "the balancer had just started and had no desired state yet", effect: EffectNoState},
	"AllRefused":                    {meaning: "every host that was asked refused; the Passed and Refused lines of the agents say why", effect: EffectRefused},
	"HeldNowhere":                   {meaning: "no host holds the flow any more: its host has ended or restarted", effect: EffectFlowLost},
	"HostLost":                      {meaning: "the agent of the flow's host has sent no status for longer than a restart takes", effect: EffectFlowLost},
	"UnknownFlow":                   {meaning: "the flow is not in the balancer's cache and a search goes on"},
	"LateCopy":                      {meaning: "a late copy of the packet that opened a flow, or a former flow from the same port"},
	"opens another flow":            {meaning: "the caller uses the port of an earlier flow again, so the balancer places the new flow"},
	"opens a flow that has ended":   {meaning: "a late copy of the packet that opened a flow which has ended"},
	"holds another flow":            {meaning: "the host may still hold an earlier flow from the same port, so the next candidate was tried"},
	"ends another flow":             {meaning: "a late FIN or RST of an earlier flow from the same port; the host does not receive it"},
	"Draining":                      {meaning: "the host had announced that it leaves", effect: EffectNotReady},
	"Evacuated":                     {meaning: "operators evacuate the host's data centre", effect: EffectNotReady},
	"Cold":                          {meaning: "the host has just started and takes only as many flows a second as its service allows", effect: EffectCold},
	"NoHeartbeat":                   {meaning: "the agent has received no heartbeat of its host, or none for three intervals", effect: EffectNotReady},
	"StaleState":                    {meaning: "the agent has received no recent status of a balancer, so its evacuations may be outdated", effect: EffectNotReady},
	"HostReturnsFlows":              {meaning: "the host has returned opening packets, so it gets none for some time and then one at a time", effect: EffectNotReady},
	"Refuses":                       {meaning: "the agent announced that its host takes no flows; the balancer waits for Length before it places flows there again"},
	"Unanswered":                    {meaning: "the host did not answer opening packets; the balancer waits for Length before it places flows there again"},
	"Gone":                          {meaning: "the host has ended", effect: EffectNotReady},
	"RequestQueued":                 {meaning: "the queue of the host was full, so the agent kept the request until the host had a place; compare Outstanding with Limit"},
	"QueueExpired":                  {meaning: "the host had no place within the longest time in the agent's queue, so the request was delivered to the full host"},
	"QueueBypassed":                 {meaning: "the queue of the host and that of the agent were full, so the request was delivered to the full host"},
	"CallerGone":                    {meaning: "the caller had left before its request was delivered, so the request has not run"},
	"service moved":                 {meaning: "the address belongs to another service now"},
	"the host has lost the flow":    {meaning: "the host has restarted since the flow was opened", effect: EffectFlowLost},
	"returned by the host":          {meaning: "the host could not accept the flow, or does not hold it"},
	"returned under an unknown tag": {meaning: "the agent has restarted since it delivered the packet"},
	"NoUsableHost":                  {meaning: "the service that the weights select had no usable host"},
	"OverAttemptBudget":             {meaning: "the expected time to a response of the service that the weights select was above a third of the latency target"},
	"ReceiverNearBudget":            {meaning: "the step was lowered because the wait at the other services was near their limit"},
	"NoReceiver":                    {meaning: "no other service of the route had a usable host"},
	"ReceiverFull":                  {meaning: "the step was lowered because the other services were about to be overloaded"},
	"CapacityReturned":              {meaning: "the step is being lowered because the service that the weights select has capacity again"},
	"TakenOver":                     {meaning: "the balancer had just started and used the step of another one of its data centre"},
	"host resets a flow that it was asked for": {meaning: "the host was starting or ending; the search goes on elsewhere"},
}

// meaningOf returns the meaning of a reason.
func meaningOf(name string) string {
	if meaning := reasons[name].meaning; meaning != "" {
		return meaning
	}
	return "see the line"
}
