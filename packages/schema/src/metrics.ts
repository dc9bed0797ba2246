/**
 * The catalogue of metrics, and the effect by which reducers count. A metric has at most one label.
 * If the values of a counter's label are listed, each is exported from the start, at zero.
 */
import { errorKinds } from './errors/errorKinds.js';
import {
  callerCloseReasons,
  drainReasons,
  fleetRetryReasons,
  ejectionReasons,
  cacheMoveOrderKinds,
  cacheMoveOutcomes,
  incompleteAnswerReasons,
  stopOrderOutcomes,
  cacheMoveRefusalReasons,
  hedgeOutcomes,
  hedgeRefusalReasons,
  lateAnswerReasons,
  recomputeReasons,
  notRunProofs,
  retryReasons,
  retryRefusalReasons,
  storeAnswerKinds,
  streamOriginFindings,
  unreadableInstanceReasons,
} from './reasons.js';
import { versionAnswerKinds } from './tables/Rollout.js';

export interface MetricDefinition {
  /** Name in Prometheus. */
  readonly name: string;
  readonly kind: 'counter' | 'gauge' | 'histogram';
  readonly help: string;
  /** The label and, if they are known in advance, all its values. */
  readonly label?: { readonly name: string; readonly values?: readonly string[] };
  /** Upper bounds of the buckets of a histogram. */
  readonly buckets?: readonly number[];
}

const secondsBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.51, 1, 2.5, 5, 10, 30, 60];

export const metricDefinitions = {
  requestsAccepted: {
    name: 'hornbeampond_requests_accepted_total',
    kind: 'counter',
    help: 'Requests accepted, by route',
    label: { name: 'route' },
  },
  refusals: {
    name: 'hornbeampond_refusals_total',
    kind: 'counter',
    help: 'Requests and changes answered with a problem document, by error kind',
    label: { name: 'kind', values: errorKinds },
  },
  callerConnectionsClosed: {
    name: 'hornbeampond_caller_connections_closed_total',
    kind: 'counter',
    help: 'Connections of callers that were closed without an answer, by reason',
    label: { name: 'reason', values: callerCloseReasons },
  },
  callerMemory: {
    name: 'hornbeampond_caller_memory_bytes',
    kind: 'gauge',
    help: 'Estimated memory that the connections of callers take, by kind',
    label: { name: 'kind' },
  },
  operatorCallsUnanswered: {
    name: 'hornbeampond_operator_calls_unanswered_total',
    kind: 'counter',
    help: 'Operators’ calls that no store answered, by how the last attempt ended',
    label: { name: 'cause', values: storeAnswerKinds },
  },
  streamsTakenUp: {
    name: 'hornbeampond_streams_taken_up_total',
    kind: 'counter',
    help: 'Requests for the rest of a stream, by how the version was found that began it',
    label: { name: 'origin', values: streamOriginFindings },
  },
  sharesRefused: {
    name: 'hornbeampond_shares_refused_total',
    kind: 'counter',
    help: 'Requests refused as beyond their share of a contended pool, by pool and priority',
    label: { name: 'priority' },
  },
  capacityLent: {
    name: 'hornbeampond_capacity_lent_total',
    kind: 'counter',
    help: 'Requests beyond their share that were served with free capacity, by pool and priority',
    label: { name: 'priority' },
  },
  capacityShare: {
    name: 'hornbeampond_capacity_share',
    kind: 'gauge',
    help: 'Slots of a contended pool that a priority may use at all entries, by pool and priority',
    label: { name: 'priority' },
  },
  capacityUse: {
    name: 'hornbeampond_capacity_use',
    kind: 'gauge',
    help: 'Requests in progress in a contended pool from all entries, by pool and priority',
    label: { name: 'priority' },
  },
  capacityKept: {
    name: 'hornbeampond_capacity_kept',
    kind: 'gauge',
    help: 'Slots of a server that a priority leaves free for more urgent ones, by pool and priority',
    label: { name: 'priority' },
  },
  retries: {
    name: 'hornbeampond_retries_total',
    kind: 'counter',
    help: 'Attempts that were followed by another attempt, by reason',
    label: { name: 'reason', values: retryReasons },
  },
  retriesRefused: {
    name: 'hornbeampond_retries_refused_total',
    kind: 'counter',
    help: 'Failed attempts that were not retried, by reason',
    label: { name: 'reason', values: retryRefusalReasons },
  },
  attemptsNotRun: {
    name: 'hornbeampond_attempts_not_run_total',
    kind: 'counter',
    help: 'Failed attempts that were taken as not run by their backend server, by proof',
    label: { name: 'proof', values: notRunProofs },
  },
  failedAnswers: {
    name: 'hornbeampond_failed_answers_total',
    kind: 'counter',
    help: 'Failed attempts whose backend server answered, by the status of its answer',
    label: { name: 'status' },
  },
  serverRejections: {
    name: 'hornbeampond_server_rejections_total',
    kind: 'counter',
    help: 'Requests that backend servers rejected, by whether the server was taken for brittle then',
    label: { name: 'assumed', values: ['brittle', 'notBrittle'] },
  },
  hedges: {
    name: 'hornbeampond_hedges_total',
    kind: 'counter',
    help: 'Calls sent to a second backend server because the first took long, and how that ended',
    label: { name: 'outcome', values: hedgeOutcomes },
  },
  hedgesNotSent: {
    name: 'hornbeampond_hedges_not_sent_total',
    kind: 'counter',
    help: 'Calls that could have been hedged and were not, by reason',
    label: { name: 'reason', values: hedgeRefusalReasons },
  },
  recomputedTokens: {
    name: 'hornbeampond_recomputed_tokens_total',
    kind: 'counter',
    help: 'Tokens that engines recomputed, by reason',
    label: { name: 'reason', values: recomputeReasons },
  },
  recomputedTokensByWorkspace: {
    name: 'hornbeampond_recomputed_tokens_by_workspace_total',
    kind: 'counter',
    help: 'Tokens that engines recomputed, by workspace',
    label: { name: 'workspace' },
  },
  cacheMoves: {
    name: 'hornbeampond_cache_moves_total',
    kind: 'counter',
    help: 'Moves of KV cache from backend servers under a reclaim notice, by outcome',
    label: { name: 'outcome', values: cacheMoveOutcomes },
  },
  stopOrders: {
    name: 'hornbeampond_stop_orders_total',
    kind: 'counter',
    help: 'Orders to backend servers that stop a run, to move its KV cache, by what is known of them',
    label: { name: 'outcome', values: stopOrderOutcomes },
  },
  incompleteAnswers: {
    name: 'hornbeampond_incomplete_answers_total',
    kind: 'counter',
    help: 'Answers of backend servers that began and are not whole, by reason',
    label: { name: 'reason', values: incompleteAnswerReasons },
  },
  cacheMoveOrders: {
    name: 'hornbeampond_cache_move_orders_total',
    kind: 'counter',
    help: 'Orders to backend servers to move KV cache, by whether an earlier one for the run has failed',
    label: { name: 'kind', values: cacheMoveOrderKinds },
  },
  cacheMovesRefused: {
    name: 'hornbeampond_cache_moves_refused_total',
    kind: 'counter',
    help: 'Orders to move KV cache that were put off or given up, by reason',
    label: { name: 'reason', values: cacheMoveRefusalReasons },
  },
  lateAnswers: {
    name: 'hornbeampond_late_answers_total',
    kind: 'counter',
    help: 'Late answers, or late parts of answers, that were dropped, by reason',
    label: { name: 'reason', values: lateAnswerReasons },
  },
  firstTokenSeconds: {
    name: 'hornbeampond_first_token_seconds',
    kind: 'histogram',
    help: 'Time from arrival to the first token, by route',
    label: { name: 'route' },
    buckets: secondsBuckets,
  },
  eventTime: {
    name: 'hornbeampond_event_handling_seconds_total',
    kind: 'counter',
    help: 'Time for which this entry has handled events, by kind of event',
    label: { name: 'event' },
  },
  openStreams: {
    name: 'hornbeampond_open_streams',
    kind: 'gauge',
    help: 'Answers that are being relayed',
  },
  configurationRevision: {
    name: 'hornbeampond_configuration_revision',
    kind: 'gauge',
    help: 'Revision of the configuration in force here',
  },
  digestAge: {
    name: 'hornbeampond_digest_age_seconds',
    kind: 'gauge',
    help: 'Age of the last digest of entry reports when it was applied here',
  },
  storeVoters: {
    name: 'hornbeampond_store_voters',
    kind: 'gauge',
    help: 'Voters of the cluster by this store’s own log',
  },
  storeIsVoter: {
    name: 'hornbeampond_store_is_voter',
    kind: 'gauge',
    help: '1 if this store is a voter by its own log, otherwise 0',
  },
  storeReadOnly: {
    name: 'hornbeampond_store_read_only',
    kind: 'gauge',
    help: '1 while this store is read-only after a failed write, otherwise 0',
  },
  storeLeaderless: {
    name: 'hornbeampond_store_leaderless_seconds',
    kind: 'gauge',
    help: 'Time for which this store has known no leader; 0 while it knows one',
  },
  subscriberBacklog: {
    name: 'hornbeampond_subscriber_backlog_bytes',
    kind: 'gauge',
    help: 'Bytes that wait to be sent to the subscriber with the longest backlog',
  },
  frames: {
    name: 'hornbeampond_frames_total',
    kind: 'counter',
    help: 'Frames between the processes of the system, by direction',
    label: { name: 'direction', values: ['in', 'out'] },
  },
  frameBytes: {
    name: 'hornbeampond_frame_bytes_total',
    kind: 'counter',
    help: 'Bytes of frames between the processes of the system, by direction',
    label: { name: 'direction', values: ['in', 'out'] },
  },
  startsAsked: {
    name: 'hornbeampond_starts_asked_total',
    kind: 'counter',
    help: 'Instance starts that were requested',
  },
  instancesBought: {
    name: 'hornbeampond_instances_bought_total',
    kind: 'counter',
    help: 'Instances that were bought',
  },
  startsRefused: {
    name: 'hornbeampond_starts_refused_total',
    kind: 'counter',
    help: 'Starts that the platform refused, by instance class',
    label: { name: 'instance_class' },
  },
  instancesReclaimed: {
    name: 'hornbeampond_instances_reclaimed_total',
    kind: 'counter',
    help: 'Instances in use that came under a reclaim notice',
  },
  instancesDrained: {
    name: 'hornbeampond_instances_drained_total',
    kind: 'counter',
    help: 'Instances taken out of service by plan, by reason',
    label: { name: 'reason', values: drainReasons },
  },
  ordersSent: {
    name: 'hornbeampond_orders_sent_total',
    kind: 'counter',
    help: 'Orders sent to backend servers',
  },
  fleetRetries: {
    name: 'hornbeampond_fleet_retries_total',
    kind: 'counter',
    help: 'Starts and ends of instances and orders that are resent, by reason',
    label: { name: 'reason', values: fleetRetryReasons },
  },
  withdrawn: {
    name: 'hornbeampond_withdrawn',
    kind: 'gauge',
    help: '1 while this entry is slow and asks the load balancer to send callers elsewhere',
  },
  lostServerPaths: {
    name: 'hornbeampond_lost_server_paths',
    kind: 'gauge',
    help: 'Backend servers that this entry reaches only through other entries',
  },
  servedTunnels: {
    name: 'hornbeampond_served_tunnels',
    kind: 'gauge',
    help: 'Open tunnels through which other entries reach backend servers',
  },
  limitedBackendServers: {
    name: 'hornbeampond_limited_backend_servers',
    kind: 'gauge',
    help: 'Backend servers that name a limit of requests per second in their answers',
  },
  brittleBackendServers: {
    name: 'hornbeampond_brittle_backend_servers',
    kind: 'gauge',
    help: 'Backend servers that say in their answers that they are brittle',
  },
  unevenPools: {
    name: 'hornbeampond_uneven_pools',
    kind: 'gauge',
    help: 'Pools whose backend servers differ so much in speed that choices take it into account',
  },
  distrustedServers: {
    name: 'hornbeampond_distrusted_backend_servers',
    kind: 'gauge',
    help: 'Backend servers whose stated time factors are contradicted by their answers',
  },
  unreadableInstances: {
    name: 'hornbeampond_unreadable_instances_total',
    kind: 'counter',
    help: 'Rows of the list of instances that were skipped, at each reading of the list, by reason',
    label: { name: 'reason', values: unreadableInstanceReasons },
  },
  unreadableStatements: {
    name: 'hornbeampond_unreadable_statements_total',
    kind: 'counter',
    help: 'Answers in which a backend server says something about itself that cannot be read',
  },
  queuedRequests: {
    name: 'hornbeampond_queued_requests',
    kind: 'gauge',
    help: 'Accepted requests that wait for a backend server',
  },
  versionAnswers: {
    name: 'hornbeampond_version_answers_total',
    kind: 'counter',
    help: 'Answers while a roll-out of their pool runs, by version and quality',
    label: { name: 'answer', values: versionAnswerKinds },
  },
  ejections: {
    name: 'hornbeampond_ejections_total',
    kind: 'counter',
    help: 'Backend servers ejected as outliers, by the last failure before the ejection',
    label: { name: 'failure', values: ejectionReasons },
  },
} as const satisfies Record<string, MetricDefinition>;

export type MetricName = keyof typeof metricDefinitions;

/** The effect that a reducer returns to add to a counter; `label` is the value of its label. */
export interface CountEffect {
  readonly type: 'count';
  readonly metric: MetricName;
  readonly label?: string;
  readonly amount?: number;
}
