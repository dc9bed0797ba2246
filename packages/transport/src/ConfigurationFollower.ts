/**
 * Maintains the newest configuration from the complete configurations and deltas that stores send.
 * Its revision never decreases, whichever store sends an update.
 */
import { applyDelta, type Configuration, type ConfigurationDelta } from '@hornbeampond/schema';

/**
 * Effect of an update. `gap`: changes are missing, so a complete configuration must be requested.
 */
export type ConfigurationUpdateResult = 'newer' | 'old' | 'gap';

export class ConfigurationFollower {
  private current: Configuration | undefined;

  get newest(): Configuration | undefined {
    return this.current;
  }

  /**
   * Drops an older configuration: a store that has just restarted may be behind, and sends newer
   * changes once it has caught up. The same revision again counts as `newer`, because it shows that
   * stores are reachable.
   */
  applyConfiguration(configuration: Configuration): ConfigurationUpdateResult {
    if (this.current !== undefined && configuration.revision < this.current.revision) return 'old';
    this.current = configuration;
    return 'newer';
  }

  applyConfigurationDelta(delta: ConfigurationDelta): ConfigurationUpdateResult {
    if (this.current === undefined) return 'gap';
    if (delta.toRevision <= this.current.revision) return 'old';
    const updated = applyDelta(this.current, delta);
    if (updated === undefined) return 'gap';
    this.current = updated;
    return 'newer';
  }
}
