/**
 * Handles the requests of entries, controllers, operators and joining stores to a store. A request
 * that needs the log is dispatched to the consensus reducer and answered with its outcome. This store
 * handles all other requests alone.
 */
import type { TimerService } from '@hornbeampond/runtime';
import {
  assertNever,
  type DigestAcknowledgement,
  type EntryDigest,
  type EntryReport,
  type FoundingAnswer,
  type InstanceReport,
  type PersistedEntryData,
  type SharedInstance,
  type SpendingReport,
  type StoreCommand,
  type StorePush,
  type StoreRequest,
  type StoreResponse,
  type WorkReport,
  type StoreStatus,
  type VersionHistoryMessage,
} from '@hornbeampond/schema';
import {
  currentMembership,
  hasCommittedInCurrentTerm,
  memberAddresses,
  quarantineAt,
  type ConsensusState,
  type MachineState,
} from '@hornbeampond/store-core';
import type { PeerSession } from '@hornbeampond/transport';
import { describeKnownMembers } from './describeStore.js';
import type { FoundingCandidate } from './decideFounding.js';
import type { EntryDigestPublisher } from './EntryDigestPublisher.js';
import type { InstanceListCache } from './InstanceListCache.js';
import type { PendingRequests, Respond, RespondEncoded } from './PendingRequests.js';
import type { ConsensusEventPayload } from './StoreProcess.js';
import { StreamOriginCache } from './StreamOriginCache.js';
import { SubscribedResponses, type SubscriberKind } from './SubscribedResponses.js';
import type { Subscribers } from './Subscribers.js';

/** Election timeouts without a response from a member after which its disk may be assumed lost. */
const LOST_MEMBER_ELECTION_TIMEOUTS = 4;

type SubscribeRequest = Extract<StoreRequest, { type: 'subscribe' }>;

export interface StoreRequestHandlerOptions {
  readonly timers: TimerService;
  readonly pendingRequests: PendingRequests;
  readonly subscribers: Subscribers;
  readonly digestPublisher: EntryDigestPublisher;
  readState(): ConsensusState;
  readMachine(): MachineState;
  readStatus(): StoreStatus;
  answerCandidate(candidate: FoundingCandidate): FoundingAnswer;
  dispatch(event: ConsensusEventPayload): void;
  onEntryReport(report: EntryReport): void;
  onWorkReport(work: WorkReport): void;
  onSpendingReport(spending: SpendingReport): void;
  readonly instanceList: InstanceListCache;
  onInstanceList(instances: readonly SharedInstance[]): void;
  /** The versions that backend servers have had; undefined before the first list. */
  readVersionHistory(): VersionHistoryMessage | undefined;
  /** Persisted state for a subscriber of this role. */
  readPersistedEntryState(role: InstanceReport['role']): PersistedEntryData;
  /** With fewer voters than this, changes of the tables are refused. */
  readonly leastVoters: number;
}

export class StoreRequestHandler {
  private proposals: { requestId: string; command: StoreCommand }[] = [];

  private hasCaughtUp = false;

  /** Subscriptions that wait until this store has caught up. */
  private readonly earlySubscriptions = new Map<PeerSession, () => void>();

  private readonly subscribedResponses: SubscribedResponses;

  private readonly streamOrigins: StreamOriginCache;

  constructor(private readonly options: StoreRequestHandlerOptions) {
    this.streamOrigins = new StreamOriginCache(options.timers);
    this.subscribedResponses = new SubscribedResponses(options.timers, options.subscribers);
  }

  handle(session: PeerSession, request: StoreRequest, respond: RespondEncoded): void {
    const { pendingRequests, dispatch, subscribers, readStatus, digestPublisher } = this.options;
    switch (request.type) {
      case 'propose':
        this.propose(request.command, respond);
        return;
      case 'readConfiguration': {
        const requestId = pendingRequests.add(respond, () => this.makeConfigurationResponse());
        dispatch({ type: 'read', requestId });
        return;
      }
      case 'readDocument': {
        const requestId = pendingRequests.add(respond, () => this.makeDocumentResponse());
        dispatch({ type: 'read', requestId });
        return;
      }
      case 'peekConfiguration':
        respond(this.makeConfigurationResponse());
        return;
      case 'subscribe':
        this.earlySubscriptions.set(session, () =>
          this.answerSubscription(session, request, respond),
        );
        this.answerEarlySubscriptions();
        return;
      case 'report':
        subscribers.recordReport(session, request.report);
        respond({ ...this.makeAcceptedResponse(), keepsStreamOrigins: true });
        return;
      case 'shareReport':
        this.options.onEntryReport(request.report);
        digestPublisher.addReport(request.report);
        respond(this.makeAcceptedResponse());
        return;
      case 'shareInstances':
        this.receiveInstanceList(request);
        respond(this.makeAcceptedResponse());
        return;
      case 'shareWork':
        this.options.onWorkReport(request.work);
        digestPublisher.addWork(session, request.work);
        respond(this.makeAcceptedResponse());
        return;
      case 'shareSpending':
        this.options.onSpendingReport(request.spending);
        digestPublisher.addSpending(request.spending);
        respond(this.makeAcceptedResponse());
        return;
      case 'shareStreamOrigins':
        this.streamOrigins.add(request.origins);
        respond(this.makeAcceptedResponse());
        return;
      case 'findStreamOrigin':
        respond(this.makeOriginResponse(request.requestId));
        return;
      case 'readStatus':
        respond({
          type: 'status',
          status: readStatus(),
          ...(request.foundingCandidate !== undefined && session.peer.role === 'store'
            ? { founding: this.options.answerCandidate(request.foundingCandidate) }
            : {}),
        });
        return;
      case 'addVoter':
        this.addVoter(request, (response) => respond(this.withKnownMembers(response)));
        return;
      case 'removeVoter':
        this.removeInstance(request.instance, respond);
        return;
      default:
        assertNever(request);
    }
  }

  /**
   * Answers the waiting subscriptions once this store has applied a log entry of the current term.
   * Until then its state may be far out of date, and a subscriber that starts would use it.
   */
  answerEarlySubscriptions(): void {
    this.hasCaughtUp ||= hasCommittedInCurrentTerm(this.options.readState());
    if (!this.hasCaughtUp || this.earlySubscriptions.size === 0) return;
    const answers = [...this.earlySubscriptions.values()];
    this.earlySubscriptions.clear();
    answers.forEach((answer) => answer());
  }

  private answerSubscription(
    session: PeerSession,
    request: SubscribeRequest,
    respond: RespondEncoded,
  ): void {
    const { subscribers, digestPublisher } = this.options;
    const { report, receivesDigests = false, acknowledgesDigests = false } = request;
    const { isStarting = true } = request;
    if (!isStarting) this.sendConfigurationFirst(session, report);
    const kind = { role: report.role, receivesDigests, isStarting };
    const response = this.subscribedResponses.getOrMake(kind, () =>
      this.makeSubscribedResponse(kind),
    );
    const abilities = { receivesDigests, acknowledgesDigests };
    const { sequence: digestSequence } = digestPublisher;
    const bytes = response.bytes.length;
    subscribers.add(session, report, abilities, { digestSequence, bytes });
    respond(response);
  }

  /**
   * Sends the configuration to a subscriber that has an older one. The response holds all that this
   * store knows, and on a full link or in a busy process it takes seconds.
   */
  private sendConfigurationFirst(session: PeerSession, { revision }: InstanceReport): void {
    const { configuration } = this.options.readMachine();
    if (configuration.revision <= revision) return;
    const push: StorePush = { type: 'configuration', configuration };
    session.push(push);
  }

  /** Sends nothing more to a subscriber that follows another store now. */
  unsubscribe(session: PeerSession): void {
    this.earlySubscriptions.delete(session);
    this.options.subscribers.unsubscribe(session);
  }

  acknowledgeDigest(session: PeerSession, { sequence }: DigestAcknowledgement): void {
    this.options.subscribers.acknowledgeDigest(session, sequence);
  }

  /** Removes a session that has ended. */
  removeSession(session: PeerSession): void {
    this.earlySubscriptions.delete(session);
    this.options.subscribers.remove(session);
    this.options.digestPublisher.removeSession(session);
  }

  async removeVoter(instance: string): Promise<StoreResponse> {
    return new Promise((resolve) => {
      this.removeInstance(instance, resolve);
    });
  }

  /** Commands received in one turn of the event loop are proposed as one batch. */
  private propose(command: StoreCommand, respond: Respond): void {
    if (this.needsMoreVoters(command)) {
      respond({ type: 'unavailable', reason: 'too few stores have joined yet' });
      return;
    }
    const requestId = this.options.pendingRequests.add(respond, (result) =>
      result === undefined
        ? { type: 'unsure', reason: 'the result is not there' }
        : { type: 'result', result },
    );
    this.proposals.push({ requestId, command });
    if (this.proposals.length > 1) return;
    setImmediate(() => {
      const { proposals } = this;
      this.proposals = [];
      this.options.dispatch({ type: 'propose', proposals });
    });
  }

  /**
   * True for a change of the tables while the cluster has too few voters. The founder is a quorum by
   * itself until others have joined; what it acknowledged by then would be lost with its disk.
   */
  private needsMoreVoters({ type }: StoreCommand): boolean {
    if (type !== 'replaceTables' && type !== 'putTable') return false;
    const { members } = currentMembership(this.options.readState());
    const voters = members.filter(({ role }) => role === 'voter');
    return voters.length < this.options.leastVoters;
  }

  /**
   * Adds a store that asks to join. If the log lists its instance with the identity of another disk and
   * that member does not respond, the disk is considered lost: its identity is removed, so that it never
   * counts again, and the store is added when it repeats its request.
   */
  private addVoter(request: Extract<StoreRequest, { type: 'addVoter' }>, respond: Respond): void {
    const { identity, ...address } = request.voter;
    const { members } = currentMembership(this.options.readState());
    if (members.some((member) => member.identity === identity)) {
      respond({ type: 'accepted' });
      return;
    }
    const previous = members.find((member) => member.address.instance === address.instance);
    if (previous === undefined) {
      this.changeMembership(respond, { type: 'addLearner', member: { identity, address } });
    } else if (this.isReachable(previous.identity)) {
      respond({ type: 'unavailable', reason: `another ${address.instance} is running` });
    } else {
      this.changeMembership(respond, { type: 'removeMember', identity: previous.identity });
    }
  }

  /** Adds the members that this store knows, so that the joining store can ask these too. */
  private withKnownMembers(response: StoreResponse): StoreResponse {
    const members = describeKnownMembers(this.options.readState());
    return { ...response, members } as StoreResponse;
  }

  /**
   * True if this store leads and the member has responded recently or is this store. Without this check
   * a second store, started by mistake with the member's name and an empty folder, would replace it.
   */
  private isReachable(identity: string): boolean {
    const { role, settings, self } = this.options.readState();
    if (role.type !== 'leader') return false;
    if (identity === self.identity) return true;
    const lastResponseAt = role.progress[identity]?.lastResponseAt;
    const lostMemberTimeout = LOST_MEMBER_ELECTION_TIMEOUTS * settings.electionTimeout;
    return (
      lastResponseAt !== undefined &&
      this.options.timers.monotonicNow() - lastResponseAt < lostMemberTimeout
    );
  }

  private removeInstance(instance: string, respond: Respond): void {
    const { members } = currentMembership(this.options.readState());
    const member = members.find((known) => known.address.instance === instance);
    if (member === undefined) {
      respond({ type: 'unavailable', reason: `${instance} is no member` });
      return;
    }
    this.changeMembership(respond, { type: 'takeOutMember', identity: member.identity });
  }

  private changeMembership(
    respond: Respond,
    change: Extract<ConsensusEventPayload, { type: 'changeMembership' }>['change'],
  ): void {
    const requestId = this.options.pendingRequests.add(respond, () => ({ type: 'accepted' }));
    this.options.dispatch({ type: 'changeMembership', requestId, change });
  }

  private makeAcceptedResponse(): Extract<StoreResponse, { type: 'accepted' }> {
    return { type: 'accepted', revision: this.options.readMachine().configuration.revision };
  }

  private makeConfigurationResponse(): StoreResponse {
    return { type: 'configuration', configuration: this.options.readMachine().configuration };
  }

  private receiveInstanceList({
    instances,
    readAt,
  }: Extract<StoreRequest, { type: 'shareInstances' }>): void {
    const { instanceList, onInstanceList, subscribers } = this.options;
    const delta = instanceList.update(instances, readAt);
    if (delta === undefined) return;
    onInstanceList(instances);
    subscribers.push({ type: 'instances', ...delta });
  }

  private makeOriginResponse(requestId: string): StoreResponse {
    const origin = this.streamOrigins.find(requestId);
    if (origin !== undefined) return { type: 'streamOrigin', origin };
    return { type: 'streamOrigin', history: this.options.readVersionHistory() };
  }

  private makeDocumentResponse(): StoreResponse {
    const { configuration, document } = this.options.readMachine();
    const version = configuration.whole?.version;
    if (version === undefined || document === undefined) {
      return { type: 'unavailable', reason: 'no configuration has been sent yet' };
    }
    return { type: 'document', version, document };
  }

  private makeFirstDigest(): EntryDigest {
    return { ...this.options.digestPublisher.makeCompleteDigest(), isAcknowledgementDue: true };
  }

  private makeSubscribedResponse({
    role,
    receivesDigests,
    isStarting,
  }: SubscriberKind): StoreResponse {
    const machine = this.options.readMachine();
    const quarantine = quarantineAt(machine, this.options.timers.wallNow());
    const stores = memberAddresses(this.options.readState());
    const persisted = this.options.readPersistedEntryState(role);
    return {
      type: 'subscribed',
      configuration: machine.configuration,
      quarantine,
      stores,
      remembered: isStarting ? persisted : { ...persisted, delays: {}, computed: {} },
      ...this.options.instanceList.latest,
      ...(receivesDigests ? { digest: this.makeFirstDigest() } : {}),
    };
  }
}
