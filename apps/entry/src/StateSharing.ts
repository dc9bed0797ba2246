/**
 * Carries out the effects by which an entry shares its state: reports, work and spending go to the other
 * entries, directly or through the stores, and origins of streams to the stores.
 */
import {
  SPENDING_DELIVERY_MILLISECONDS,
  type EntryEffect,
  type EntryEventPayload,
} from '@hornbeampond/entry-core';
import type { TimerService } from '@hornbeampond/runtime';
import { assertNever, type EntryReport, type SpendingReport } from '@hornbeampond/schema';
import type { StoreClient } from '@hornbeampond/transport';
import type { EntryPeers } from './EntryPeers.js';

type Effect<Type extends EntryEffect['type']> = Extract<EntryEffect, { type: Type }>;

export type SharingEffect = Effect<
  'reportToEntries' | 'tellWork' | 'tellSpending' | 'shareStreamOrigins' | 'findStreamOrigin'
>;

/** Stores that can be reached answer within milliseconds, and a caller waits for the rest of a stream. */
const FIND_ORIGIN_TIMEOUT_MILLISECONDS = 250;

export interface StateSharingOptions {
  readonly timers: TimerService;
  readonly storeClient: StoreClient;
  readonly peers: EntryPeers;
  /** True if the settings list no entries; reports then go through the stores. */
  readonly throughStores: boolean;
  dispatch(payload: EntryEventPayload): void;
}

export class StateSharing {
  constructor(private readonly options: StateSharingOptions) {}

  run(effect: SharingEffect): void {
    const { storeClient, peers, throughStores } = this.options;
    switch (effect.type) {
      case 'reportToEntries':
        this.sendReport(effect.report);
        return;
      case 'tellWork':
        if (throughStores) storeClient.shareWork(effect.work);
        else peers.sendReport(effect.work);
        return;
      case 'tellSpending':
        this.sendSpending(effect.spending);
        return;
      case 'shareStreamOrigins':
        storeClient.shareStreamOrigins(effect.origins);
        return;
      case 'findStreamOrigin':
        void this.findStreamOrigin(effect);
        return;
      default:
        assertNever(effect);
    }
  }

  private sendReport(report: EntryReport): void {
    const { storeClient, peers, throughStores } = this.options;
    const { spent = {} } = report;
    if (throughStores) {
      storeClient.shareReport(report, () => this.acknowledgeDelivery(spent));
      return;
    }
    peers.sendReport(report);
    this.acknowledgeSpending(spent);
  }

  private sendSpending(spending: SpendingReport): void {
    const { storeClient, peers, throughStores } = this.options;
    const { spent } = spending;
    if (throughStores) {
      storeClient.shareSpending(spending, () => this.acknowledgeDelivery(spent));
      return;
    }
    peers.sendReport(spending);
    this.acknowledgeSpending(spent);
  }

  /** Acknowledges what a store has received once the other entries have received it too. */
  private acknowledgeDelivery(spent: Readonly<Record<string, number>>): void {
    const { timers } = this.options;
    timers.after(SPENDING_DELIVERY_MILLISECONDS, () => this.acknowledgeSpending(spent));
  }

  private acknowledgeSpending(spent: Readonly<Record<string, number>>): void {
    if (Object.keys(spent).length === 0) return;
    this.options.dispatch({ type: 'spendingAcknowledged', spent });
  }

  private async findStreamOrigin({
    requestId,
    firstRequestId,
  }: Effect<'findStreamOrigin'>): Promise<void> {
    const { storeClient, dispatch } = this.options;
    const timeout = FIND_ORIGIN_TIMEOUT_MILLISECONDS;
    const answer = await storeClient.findStreamOrigin(firstRequestId, timeout);
    dispatch({ type: 'streamOriginAnswered', requestId, ...answer });
  }
}
