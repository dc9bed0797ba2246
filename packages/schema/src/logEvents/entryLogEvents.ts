/** Log events of entries, numbered 2000 to 2999. */
import { defineLogEvent } from './LogEventDefinition.js';

export const entryLogEvents = {
  requestAccepted: defineLogEvent(2000, 'debug', 'A request was accepted'),
  requestRefused: defineLogEvent(2001, 'info', 'A request was refused before it ran'),
  requestFinished: defineLogEvent(2002, 'debug', 'A request was answered completely'),
  requestFailed: defineLogEvent(2003, 'warn', 'An accepted request was ended with an error'),
  streamTakenUp: defineLogEvent(
    2007,
    'info',
    'A stream goes on that broke off; how its version was found, and how old that knowledge is',
  ),
  attemptStarted: defineLogEvent(2010, 'debug', 'A request was sent to a backend server'),
  attemptFailed: defineLogEvent(2011, 'info', 'An attempt at a backend server failed'),
  serverRejected: defineLogEvent(
    2014,
    'info',
    'A backend server rejected a request; what was assumed of it then, and what it said of its load',
  ),
  effectFailed: defineLogEvent(
    2015,
    'error',
    'An effect could not be performed; the request that it concerns is ended or retried',
  ),
  attemptHedged: defineLogEvent(
    2012,
    'debug',
    'A call that takes longer than usual is sent to another backend server as well',
  ),
  failurePassedOn: defineLogEvent(
    2013,
    'info',
    'The caller received the failure with which a backend server answered, with its status',
  ),
  cacheMoveOrdered: defineLogEvent(
    2016,
    'info',
    'A backend server is ordered to stop a run and to move its KV cache',
  ),
  cacheMoveAnswered: defineLogEvent(
    2017,
    'info',
    'The order to move a KV cache was answered or given up; what is known of it and of its connection',
  ),
  callerGone: defineLogEvent(2020, 'debug', 'The caller closed its connection'),
  answerReplayed: defineLogEvent(
    2021,
    'debug',
    'A resent call got the stored answer of its first run',
  ),
  callersRefused: defineLogEvent(
    2022,
    'info',
    'Input of callers was refused before it was a request, or their connections closed; at most one line a second',
  ),
  platformUnreachable: defineLogEvent(2030, 'warn', 'The list of instances could not be read'),
  instancesUnreadable: defineLogEvent(
    2031,
    'warn',
    'Invalid rows of the list of instances are skipped, by reason; the same rows are named once a minute',
  ),
  statementUnreadable: defineLogEvent(
    2032,
    'warn',
    'A backend server says something about itself that cannot be read; it is ignored',
  ),
  rateLimitChanged: defineLogEvent(
    2240,
    'info',
    'A backend server names a limit of requests per second, another one, or none any more',
  ),
  brittlenessChanged: defineLogEvent(
    2245,
    'info',
    'A backend server says that it falls over if it has to reject too much, or no longer says so',
  ),
  rejectionLearnt: defineLogEvent(
    2246,
    'info',
    'A rejection by a brittle backend server, of this entry or of another one, bounds what it gets',
  ),
  restRequested: defineLogEvent(
    2241,
    'info',
    'A backend server turned a request away and wants nothing from this entry for a while',
  ),
  serverLeaving: defineLogEvent(
    2242,
    'info',
    'A backend server says in its answers that it leaves; it gets no new work',
  ),
  poolEvennessChanged: defineLogEvent(
    2243,
    'info',
    'The backend servers of a pool differ so much in speed that choices take it into account, or no longer do',
  ),
  statedFactorTrustChanged: defineLogEvent(
    2244,
    'warn',
    'The answers of a backend server contradict the time factor that it states, or agree with it again',
  ),
  requestAwaitsConfiguration: defineLogEvent(
    2004,
    'debug',
    'A request waits until this starting entry has its configuration',
  ),
  requestAwaitsAcknowledgement: defineLogEvent(
    2005,
    'debug',
    'A request waits until a store has acknowledged what its workspace has spent',
  ),
  requestAwaitsOrigin: defineLogEvent(
    2006,
    'debug',
    'A request for the rest of a stream waits until the stores have said which version began it',
  ),
  requestAwaitsList: defineLogEvent(
    2008,
    'debug',
    'A request for the rest of a stream waits until the list shows whether a version has joined',
  ),
  requestQueued: defineLogEvent(2100, 'debug', 'A request waits for a backend server'),
  requestLate: defineLogEvent(
    2102,
    'info',
    'A request cannot meet its deadline and is served after those that can',
  ),
  poolContended: defineLogEvent(
    2103,
    'warn',
    'More is asked of a pool than its servers can take; its capacity is divided by shares',
  ),
  poolUncontended: defineLogEvent(
    2104,
    'info',
    'A pool has capacity for all requests again, or no sums of its use arrive any more',
  ),
  backendServerEjected: defineLogEvent(
    2101,
    'warn',
    'A backend server was ejected and gets no new work for a while',
  ),
  connectionOnlyLost: defineLogEvent(
    2200,
    'info',
    'A connection was lost, but its backend server still responds',
  ),
  backendServerCrashed: defineLogEvent(
    2201,
    'warn',
    'A backend server was lost with requests in progress',
  ),
  requestQuarantined: defineLogEvent(
    2202,
    'warn',
    'A request that crashed backend servers was quarantined',
  ),
  partsQuarantined: defineLogEvent(
    2203,
    'warn',
    'Parts of prompts under which backend servers crashed were quarantined',
  ),
  streamHandedOn: defineLogEvent(2211, 'info', 'A stream is migrated to another backend server'),
  entrySlow: defineLogEvent(
    2300,
    'warn',
    'This process gets too little processor time: its ticks are late most of the time',
  ),
  entryRecovered: defineLogEvent(2301, 'info', 'This process gets enough processor time again'),
  withdrawalChanged: defineLogEvent(
    2302,
    'warn',
    'A slow entry asks the load balancer to send callers elsewhere, or takes them again',
  ),
  eventsTakeLong: defineLogEvent(
    2303,
    'warn',
    'Handling events takes much of the time of this process',
  ),
  eventsTakeLittle: defineLogEvent(
    2304,
    'info',
    'Handling events takes little of the time of this process again',
  ),
  serverPathLost: defineLogEvent(
    2310,
    'warn',
    'Another entry reaches a backend server that this one does not reach; it goes through that entry',
  ),
  serverPathRestored: defineLogEvent(2311, 'info', 'A backend server is reached directly again'),
  tunnelRefused: defineLogEvent(
    2312,
    'info',
    'Another entry asked for a tunnel to a backend server and could not be given one',
  ),
  shutdownLimitReached: defineLogEvent(
    2220,
    'warn',
    'Requests still in progress at the shutdown limit were ended',
  ),
} as const;
