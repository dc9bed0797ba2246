/** Applies the effects that are common to the reducers of all processes: logs and metrics. */
import type { CountEffect, LogEffect, MetricName } from '@hornbeampond/schema';
import type { Logger } from './Logger.js';
import type { Metrics } from './Metrics.js';

export type CommonEffect =
  | CountEffect
  | LogEffect
  | {
      readonly type: 'setGauge';
      readonly metric: MetricName;
      readonly value: number;
      readonly label?: string;
    }
  | {
      readonly type: 'observe';
      readonly metric: MetricName;
      readonly value: number;
      readonly label?: string;
    };

/** Applies the effect if it is a common one, and returns whether it is. */
export function runCommonEffect(
  effect: { readonly type: string },
  logger: Logger,
  metrics: Metrics,
): effect is CommonEffect {
  const commonEffect = effect as CommonEffect;
  switch (commonEffect.type) {
    case 'log':
      logger.write(commonEffect.event, commonEffect.fields);
      return true;
    case 'count':
      metrics.count(commonEffect);
      return true;
    case 'setGauge':
      metrics.setGauge(commonEffect.metric, commonEffect.value, commonEffect.label);
      return true;
    case 'observe':
      metrics.observe(commonEffect.metric, commonEffect.value, commonEffect.label);
      return true;
    default:
      return false;
  }
}
