/**
 * Asks other stores at regular intervals to add this one to the cluster. This serves stores with a new
 * disk and stores that were removed while they were unreachable.
 *
 * Only the leader can add a store, and it may be none of the stores that this one knows. Each store that
 * is asked answers with the members that it knows. Once no store has answered as the leader within an
 * interval, this store connects to these members and asks them too, and asks the stores that have
 * connected to it for the members that they know.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type {
  JoiningVoter,
  KnownMembers,
  MembersRequest,
  StoreRequest,
  StoreResponse,
} from '@hornbeampond/schema';
import type { PeerSession } from '@hornbeampond/transport';
import { LearntMembers } from './LearntMembers.js';
import type { NamedPeer, StorePeers } from './StorePeers.js';

const REQUEST_INTERVAL_MILLISECONDS = 250;
const REQUEST_TIMEOUT_MILLISECONDS = 2000;

export interface JoinRequestsOptions {
  readonly timers: TimerService;
  readonly peers: StorePeers;
  /** False once this store is a member and knows a leader, or cannot join. */
  isNeeded(): boolean;
  /**
   * True once this store is a member by a log that its leader has brought up to date. Until then its
   * log may be an old one, which lists neither the leader nor any present member.
   */
  isComplete(): boolean;
  describeSelf(): JoiningVoter;
  /** The members by this store's own log. */
  readOwnMembers(): KnownMembers;
}

export class JoinRequests {
  private cancelTimer: Unsubscribe = () => {};

  private isRunning = false;

  private readonly learntMembers = new LearntMembers();

  /** Connections that other stores have opened to this one. */
  private readonly sessions = new Set<PeerSession>();

  private hasAsked = false;

  /** True if a store has answered as the leader since the last requests were sent. */
  private hasLeaderAnswered = false;

  /** True once the known stores did not suffice to reach the leader. */
  private usesLearntMembers = false;

  constructor(private readonly options: JoinRequestsOptions) {}

  start(): void {
    this.cancelTimer();
    this.isRunning = true;
    this.hasAsked = false;
    this.cancelTimer = this.options.timers.every(REQUEST_INTERVAL_MILLISECONDS, () =>
      this.sendRequests(),
    );
  }

  /** Stops, and forgets what was learnt. */
  stop(): void {
    this.cancelTimer();
    this.isRunning = false;
    this.usesLearntMembers = false;
    this.learntMembers.clear();
    this.options.peers.setLearnt([]);
  }

  /** Takes note of a connection that another store has opened to this one. */
  addSession(session: PeerSession): void {
    this.sessions.add(session);
    if (!this.isRunning || this.options.isComplete()) return;
    // A leader closes its connection once it has removed the lost disk of this store, so a store that
    // reaches no other asks at once.
    if (!this.options.peers.all.some(({ client }) => client.isOpen)) this.usesLearntMembers = true;
    if (this.usesLearntMembers) this.requestMembers(session);
  }

  removeSession(session: PeerSession): void {
    this.sessions.delete(session);
  }

  /** Takes note of members that another store knows. */
  learn(members: KnownMembers): void {
    if (!this.isRunning) return;
    this.learntMembers.learn(members);
    if (this.usesLearntMembers) this.connectToLearntMembers();
  }

  private sendRequests(): void {
    if (this.options.isComplete()) {
      this.stop();
      return;
    }
    const isNeeded = this.options.isNeeded();
    // A leader that is known but has not brought this store up to date may wait for answers that this
    // store cannot send, for lack of the leader's address.
    if (this.hasAsked && !(isNeeded && this.hasLeaderAnswered)) this.usesLearntMembers = true;
    this.hasAsked = true;
    this.hasLeaderAnswered = false;
    if (this.usesLearntMembers) {
      this.connectToLearntMembers();
      this.requestMembersFromAll();
    }
    if (isNeeded) this.options.peers.all.forEach((peer) => this.sendRequest(peer));
  }

  private sendRequest({ instance, client }: NamedPeer): void {
    if (!client.isOpen) return;
    const request: StoreRequest = { type: 'addVoter', voter: this.options.describeSelf() };
    client
      .request(request, REQUEST_TIMEOUT_MILLISECONDS)
      .then((response) => this.receiveResponse(instance, response as StoreResponse))
      // Failures need no handling, since the request is repeated.
      .catch(() => {});
  }

  private receiveResponse(instance: string, response: StoreResponse): void {
    // Stores of older versions answer without members.
    if (!('members' in response) || response.members === undefined) return;
    if (response.members.leader === instance) this.hasLeaderAnswered = true;
    this.learn(response.members);
  }

  private connectToLearntMembers(): void {
    const { peers, readOwnMembers } = this.options;
    peers.setLearnt(this.learntMembers.addressesBeside(readOwnMembers()));
  }

  /** Asks all stores that have connected to this one for the members that they know. */
  requestMembersFromAll(): void {
    this.sessions.forEach((session) => this.requestMembers(session));
  }

  private requestMembers(session: PeerSession): void {
    const request: MembersRequest = { type: 'requestMembers' };
    session.push(request);
  }
}
