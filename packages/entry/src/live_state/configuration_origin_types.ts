/** How a configuration reached this entry. */
export type ConfigurationOrigin = 'read' | 'watch';
