# Bash completion for dragonflystall: source this file, or put it into
# /etc/bash_completion.d.
_dragonflystall() {
  local word=${COMP_WORDS[COMP_CWORD]} command=${COMP_WORDS[1]}
  COMPREPLY=()
  if [ "$COMP_CWORD" -eq 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W "$(dragonflystall --help 2>/dev/null |
      awk '/^  [a-z]/ { print $1 }') --help" -- "$word")
    return
  fi
  case "$word" in
  -*)
    mapfile -t COMPREPLY < <(compgen -W "$(dragonflystall "$command" --help \
      2>/dev/null | grep -o -- '--[a-z][a-z-]*' | sort -u)" -- "$word")
    return
    ;;
  esac
  if [ "$command" = zone ] && [ "$COMP_CWORD" -eq 2 ]; then
    mapfile -t COMPREPLY < <(compgen -W "out in" -- "$word")
    return
  fi
  mapfile -t COMPREPLY < <(compgen -f -- "$word")
}
complete -F _dragonflystall dragonflystall
