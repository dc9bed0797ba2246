/**
 * Builds the newest configuration from what stores send: whole ones and deltas. It is the only
 * judge of what is newer, so whoever listens sees revisions grow, whichever store sends them.
 */
import { applyDelta, type Configuration, type ConfigurationDelta } from '@hornbeampond/schema';

/** `gap`: changes were missed, and a whole configuration has to be asked for. */
export type ConfigurationUpdateResult = 'newer' | 'old' | 'gap';

export class ConfigurationFollower {
  private current: Configuration | undefined;

  get newest(): Configuration | undefined {
    return this.current;
  }

  /**
   * A store that has just come back may be behind; a client that moves to it would go back to
   * tables that the operators have replaced. What is older is dropped, and the store sends what
   * follows as soon as it has caught up. The same revision again is handed on: it says that
   * stores can be reached.
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
