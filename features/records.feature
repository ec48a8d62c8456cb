Feature: Stored form of the cell's own records

  # Guards against a rename in the code that changes the stored form.
  Scenario Outline: A record's stored form
    Given <a record> as created by this version
    Then it is stored as <stored>
    And the stored form is decoded to the same record

    Examples:
      | a record                   | stored |
      | an accepted job            | {"queue":"q","service":"s","accepted_at":1.5,"spec":{"payload":"p","steps":[{"count":2,"demand":{"cpu":500,"memory_mb":256,"gpu":0},"estimate":0.5,"depends_on":[0]}]},"zone":"north","account":"blue"} |
      | a cancellation             | {"at":2.5} |
      | progress of a running job  | {"epoch":3,"state":"running","done":[[0,1,"5"]],"failed":[[0,1,2,3001]],"runners":["i-1@7"],"crashed":[[0,0,0,3001,true]],"starts":[[0,0,0,3002,"i-2@8"]],"doubtful":true,"account":"blue"} |
      | progress of a finished job | {"epoch":3,"state":"completed","ended_at":9.5,"account":"blue","leftovers":[["i-1@7",{"cpu":500,"memory_mb":256,"gpu":0}]]} |
      | an owner                   | {"epoch":3,"host":"h","term":"h/1/3","beat":4,"released":true,"unsettled":1.5,"read_from":6,"version":7} |
      | runners in use             | {"epoch":3,"runners":["i-1@7","i-2"]} |
      | speeds of runners          | {"epoch":3,"rows":[["i-1@7",55],["i-2",120]]} |
      | a member                   | {"zone":"north","address":"10.0.0.1","port":7720,"incarnation":"h/1","cores":2.0,"read_from":6} |
