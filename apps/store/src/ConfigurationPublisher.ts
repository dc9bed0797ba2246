/**
 * Sends changes of the configuration and the quarantine to the subscribers of a store.
 *
 * Configuration changes are published at the end of the event loop turn in which they were applied. A
 * restarted store applies its whole log in one turn; if each log entry were published, subscribers
 * would use one superseded configuration after another.
 */
import type { Metrics, TimerService } from '@hornbeampond/runtime';
import { configurationSince, quarantineAt, type MachineState } from '@hornbeampond/store-core';
import type { Subscribers } from './Subscribers.js';

export interface ConfigurationPublisherOptions {
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly subscribers: Subscribers;
  readMachine(): MachineState;
}

export class ConfigurationPublisher {
  /** True while a publication is scheduled; it covers all changes applied until then. */
  private isDue = false;

  private isStopped = false;

  constructor(private readonly options: ConfigurationPublisherOptions) {}

  /**
   * Schedules a push of the changes since `previousRevision`, the revision before the change. Has no
   * effect while a push is scheduled, which starts from an earlier revision.
   */
  publishSince(previousRevision: number): void {
    if (this.isDue) return;
    this.isDue = true;
    setImmediate(() => {
      this.isDue = false;
      if (!this.isStopped) this.publish(previousRevision);
    });
  }

  publishQuarantine(): void {
    const { readMachine, subscribers, timers } = this.options;
    const quarantine = quarantineAt(readMachine(), timers.wallNow());
    subscribers.push({ type: 'quarantine', quarantine });
  }

  stop(): void {
    this.isStopped = true;
  }

  private publish(previousRevision: number): void {
    const { readMachine, subscribers, metrics, timers } = this.options;
    const machine = readMachine();
    metrics.setGauge('configurationRevision', machine.configuration.revision);
    const update = configurationSince(machine, previousRevision);
    const publishedAt = timers.wallNow();
    subscribers.push(
      update.type === 'delta'
        ? { type: 'configurationDelta', delta: update.delta, publishedAt }
        : { type: 'configuration', configuration: update.configuration, publishedAt },
    );
  }
}
